// A prepared statement as its text and parameter types, independent of the names that clients and servers
// have for it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "overload/memory_budget.h"
#include "pg/sql.h"

namespace flaxdoor::pg {

struct Prepared {
    explicit Prepared(overload::MemoryBudget* memory) : charge(memory) {}

    overload::MemoryCharge charge;  // of the texts and of the table's entry
    std::uint64_t id = 0;
    std::string text, types;  // `types` is the part of Parse behind the text
    SqlFacts facts;
};
using PreparedPtr = std::shared_ptr<const Prepared>;

// Statements by the names that a client gave to them, or to its portals.
class NamedStatements {
public:
    using Map = std::unordered_map<std::string, PreparedPtr>;

    Map::const_iterator find(const std::string& name) const { return by_name_.find(name); }
    Map::const_iterator end() const { return by_name_.end(); }
    bool contains(const std::string& name) const { return by_name_.contains(name); }
    std::size_t size() const { return by_name_.size(); }

    void set(const std::string& name, PreparedPtr statement) {
        if (by_name_.insert_or_assign(name, std::move(statement)).second) name_bytes_ += name.size();
    }
    void erase(const std::string& name) {
        if (by_name_.erase(name) > 0) name_bytes_ -= name.size();
    }
    void clear() {
        by_name_.clear();
        name_bytes_ = 0;
    }
    // Memory that the names and their entries hold; the statements are shared, and counted by themselves.
    std::size_t held_bytes() const { return name_bytes_ + by_name_.size() * entry_bytes; }

private:
    static constexpr std::size_t entry_bytes = sizeof(Map::value_type) + 4 * sizeof(void*);

    Map by_name_;
    std::size_t name_bytes_ = 0;
};

// Shares one Prepared among all holders of the same text and types. Expired entries are removed whenever the
// table has doubled, which bounds it to about twice the number of statements in use. Threading: one thread.
class Statements {
public:
    // `memory`: counts the statements in use; null: no limit.
    explicit Statements(overload::MemoryBudget* memory = nullptr) : memory_(memory) {}

    // Returns null when there is no memory for a statement that is not in use yet.
    PreparedPtr intern(std::string_view text, std::string_view types) {
        std::string key(text);
        key += '\0';
        key += types;
        const auto found = by_text_.find(key);
        if (found != by_text_.end()) {
            if (auto existing = found->second.lock()) return existing;
        }
        if (by_text_.size() >= sweep_at_) {
            std::erase_if(by_text_, [](const auto& entry) { return entry.second.expired(); });
            sweep_at_ = 2 * by_text_.size() + 64;
        }
        auto created = std::make_shared<Prepared>(memory_);
        if (!created->charge.settle(sizeof(Prepared) + 2 * key.size())) return nullptr;
        created->id = ++last_id_;
        created->text = text;
        created->types = types;
        created->facts = facts(text);
        by_text_[std::move(key)] = created;
        return created;
    }

    // Returns the facts of a text. Those of the last text are kept: a unit's text is analyzed when the unit is classified
    // and when it is forwarded.
    const SqlFacts& facts(std::string_view text) {
        if (text != last_text_ || last_text_.empty()) {
            last_facts_ = facts_of(text);
            last_text_ = text;
        }
        return last_facts_;
    }

private:
    overload::MemoryBudget* const memory_;
    std::string last_text_;
    SqlFacts last_facts_;
    std::unordered_map<std::string, std::weak_ptr<const Prepared>> by_text_;
    std::size_t sweep_at_ = 64;
    std::uint64_t last_id_ = 0;
};

}  // namespace flaxdoor::pg
