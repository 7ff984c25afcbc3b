#include "settings/values.h"

namespace flaxdoor::settings {

Row::Row(std::shared_ptr<const Table> table) : table_(std::move(table)), slots_(table_->settings.size()) {
    for (std::size_t i = 0; i < slots_.size(); ++i) slots_[i].value = table_->settings[i].fallback;
}

const Value* Row::find(std::string_view table, std::string_view name) const {
    if (table != table_->name) {
        throw std::logic_error("row of table " + table_->name + " was asked for a key of table " +
                               std::string(table));
    }
    const Slot& slot = slots_[table_->index_of(name)];
    return slot.value ? &*slot.value : nullptr;
}

const std::string& Row::label() const {
    const Slot& slot = slots_[table_->index_of(table_->unique)];
    if (!slot.value) throw std::logic_error("row of table " + table_->name + " has no label");
    return std::get<std::string>(*slot.value);
}

Values::Values(Schema schema) : schema_(std::move(schema)), parts_(schema_.tables().size()) {
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        if (schema_.tables()[i].kind != Kind::many) parts_[i].rows.emplace_back(schema_.shared_table(i));
    }
}

const Row& Values::row(std::string_view table) const {
    const std::size_t index = schema_.index_of(table);
    if (schema_.tables()[index].kind == Kind::many) {
        throw std::logic_error("[[" + std::string(table) + "]] has rows: use rows()");
    }
    return parts_[index].rows.front();
}

const std::vector<Row>& Values::rows(std::string_view table) const {
    const std::size_t index = schema_.index_of(table);
    if (schema_.tables()[index].kind != Kind::many) {
        throw std::logic_error("[" + std::string(table) + "] has no rows: use row()");
    }
    return parts_[index].rows;
}

bool Values::given(std::string_view table) const { return parts_[schema_.index_of(table)].given; }

std::size_t Values::count_given() const {
    std::size_t count = 0;
    for (const Part& part : parts_) {
        for (const Row& row : part.rows) {
            for (const Row::Slot& slot : row.slots()) count += slot.given ? 1 : 0;
        }
    }
    return count;
}

}  // namespace flaxdoor::settings
