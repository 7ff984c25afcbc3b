// Makes handlers that capture a raw `this` do nothing once their owner has been destroyed: an event loop may
// still hold a handler that is due by then. Used on one thread; the owner declares it as its last member.
#pragma once

#include <memory>
#include <utility>

namespace flaxdoor::loop {

class LifetimeGuard {
public:
    template <typename Handler>
    auto wrap(Handler handler) const {
        return
            [alive = std::weak_ptr<void>(token_), handler = std::move(handler)](auto&&... arguments) mutable {
                if (!alive.expired()) handler(std::forward<decltype(arguments)>(arguments)...);
            };
    }

private:
    std::shared_ptr<void> token_ = std::make_shared<char>();
};

}  // namespace flaxdoor::loop
