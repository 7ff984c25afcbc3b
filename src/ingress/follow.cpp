#include "ingress/follow.h"

namespace flaxdoor::ingress {

ResourceWatcher::ResourceWatcher(const loop::Executor& executor, kube::Client& client,
                                 const loop::Clock& clock, kube::ReflectorOptions options, std::uint64_t seed,
                                 OnChange on_change, OnError on_error)
    : client_(client),
      clock_(clock),
      reflector_(std::move(options)),
      random_(seed),
      on_change_(std::move(on_change)),
      on_error_(std::move(on_error)),
      timer_(executor) {}

void ResourceWatcher::start_next_call() {
    const Time now = clock_.now();
    auto call = reflector_.next(now, chance());
    if (!call) {
        if (const auto due = reflector_.due()) {
            timer_.expires_at(clock_.steady(*due));
            timer_.async_wait(alive_.wrap([this](const boost::system::error_code& error) {
                if (!error) start_next_call();
            }));
        }
        return;
    }
    kube::Client::Call client_call;
    client_call.target = std::move(call->target);
    client_call.accept = std::move(call->accept);
    client_call.limit = call->limit;
    call_number_ = client_.start(std::move(client_call),
                                 {alive_.wrap([this](int status, Micros retry_after) {
                                      reflector_.on_status(status, retry_after);
                                      notify();
                                  }),
                                  alive_.wrap([this](std::string_view bytes) {
                                      reflector_.on_body(bytes);
                                      notify();
                                      if (!reflector_.response_unusable()) return;
                                      client_.cancel(call_number_);
                                      reflector_.call_ended(clock_.now(), false, {}, chance());
                                      notify();
                                      start_next_call();
                                  }),
                                  alive_.wrap([this](bool complete, const std::string& error) {
                                      reflector_.call_ended(clock_.now(), complete, error, chance());
                                      notify();
                                      start_next_call();
                                  })});
}

void ResourceWatcher::notify() {
    while (auto change = reflector_.take()) on_change_(std::move(*change));
    if (last_error_ == reflector_.last_error()) return;
    last_error_ = reflector_.last_error();
    on_error_(last_error_);
}

}  // namespace flaxdoor::ingress
