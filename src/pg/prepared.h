// A prepared statement as its text and types, apart from the names that clients and servers have for it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pg/sql.h"

namespace flaxdoor::pg {

struct Prepared {
    std::uint64_t id = 0;
    std::string text, types;  // types: the part of Parse behind the text
    SqlFacts facts;
};
using PreparedPtr = std::shared_ptr<const Prepared>;

// One Prepared for each text with its types, as long as anybody holds it. One thread; the table is swept as
// it grows, so it holds at most twice as many as are held.
class Statements {
public:
    PreparedPtr take(std::string_view text, std::string_view types) {
        std::string key(text);
        key += '\0';
        key += types;
        const auto found = known_.find(key);
        if (found != known_.end()) {
            if (auto held = found->second.lock()) return held;
        }
        if (known_.size() >= sweep_at_) {
            std::erase_if(known_, [](const auto& each) { return each.second.expired(); });
            sweep_at_ = 2 * known_.size() + 64;
        }
        auto made = std::make_shared<Prepared>();
        made->id = ++last_;
        made->text = text;
        made->types = types;
        made->facts = facts_of(text);
        known_[std::move(key)] = made;
        return made;
    }

private:
    std::unordered_map<std::string, std::weak_ptr<const Prepared>> known_;
    std::size_t sweep_at_ = 64;
    std::uint64_t last_ = 0;
};

}  // namespace flaxdoor::pg
