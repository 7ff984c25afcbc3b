#include "model.h"

#include <algorithm>
#include <memory>
#include <random>

namespace flaxdoor::store::test {

SpaceKind kind_of(const Change& change) {
    const bool stream = change.kind == Batch::Kind::append || change.kind == Batch::Kind::trim;
    return stream ? SpaceKind::streams : SpaceKind::keys;
}

void Model::make_space(const std::string& space, SpaceKind kind) {
    if (kind == SpaceKind::keys) {
        keys_[space];
    } else {
        streams_[space];
    }
}

void Model::apply(const Changes& changes) {
    for (const Change& change : changes) {
        switch (change.kind) {
            case Batch::Kind::put: keys_[change.space][change.key] = change.value; break;
            case Batch::Kind::erase: keys_[change.space].erase(change.key); break;
            case Batch::Kind::append: {
                Stream& stream = streams_[change.space][change.key];
                stream.elements[stream.next++] = change.value;
                break;
            }
            case Batch::Kind::trim: {
                auto& elements = streams_[change.space][change.key].elements;
                elements.erase(elements.begin(), elements.lower_bound(change.before));
                break;
            }
        }
    }
}

std::string Model::text() const {
    std::string text;
    for (const auto& [space, keys] : keys_) {
        text += "keys " + space + "\n";
        for (const auto& [key, value] : keys) text += "  " + key + "=" + value + "\n";
    }
    for (const auto& [space, streams] : streams_) {
        text += "streams " + space + "\n";
        for (const auto& [name, stream] : streams) {
            if (stream.next == 0) continue;
            text += " " + name + " next " + std::to_string(stream.next) + "\n";
            for (const auto& [position, value] : stream.elements)
                text += "  " + std::to_string(position) + "=" + value + "\n";
        }
    }
    return text;
}

std::string text_of(Engine& engine, const Names& names, std::size_t page,
                    std::optional<std::uint64_t> snapshot) {
    std::string text;
    const auto failed = [](const Result& result) {
        return "failed: " + std::string(text_of(result.status)) + ": " + result.why;
    };
    for (const SpaceKind kind : {SpaceKind::keys, SpaceKind::streams}) {
        for (const auto& [space, space_kind] : names.spaces) {
            if (space_kind != kind) continue;
            SpaceId id = 0;
            if (!engine.space(space, kind, false, id)) continue;
            if (kind == SpaceKind::keys) {
                text += "keys " + space + "\n";
                std::string from;
                for (;;) {
                    std::vector<Engine::Item> items;
                    if (auto result = engine.scan(id, from, {}, page, items, snapshot); !result)
                        return failed(result);
                    for (const auto& item : items) text += "  " + item.key + "=" + item.value + "\n";
                    if (items.empty()) break;
                    from = items.back().key + '\0';
                }
                continue;
            }
            text += "streams " + space + "\n";
            std::vector<std::string> streams = names.streams;
            std::sort(streams.begin(), streams.end());
            for (const std::string& stream : streams) {
                std::uint64_t next = 0;
                if (auto result = engine.next_position(id, stream, next); !result) return failed(result);
                if (next == 0) continue;
                text += " " + stream + " next " + std::to_string(next) + "\n";
                std::uint64_t from = 0;
                for (;;) {
                    std::vector<Engine::Element> elements;
                    if (auto result = engine.read_stream(id, stream, from, page, elements, snapshot); !result)
                        return failed(result);
                    for (const auto& element : elements)
                        text += "  " + std::to_string(element.position) + "=" + element.value + "\n";
                    if (elements.empty()) break;
                    from = elements.back().position + 1;
                }
            }
        }
    }
    return text;
}

Batch batch_of(Engine& engine, const Changes& changes) {
    Batch batch;
    for (const Change& change : changes) {
        SpaceId id = 0;
        (void)engine.space(change.space, kind_of(change), false, id).status;
        switch (change.kind) {
            case Batch::Kind::put: batch.put(id, change.key, change.value); break;
            case Batch::Kind::erase: batch.erase(id, change.key); break;
            case Batch::Kind::append: batch.append(id, change.key, change.value); break;
            case Batch::Kind::trim: batch.trim(id, change.key, change.before); break;
        }
    }
    return batch;
}

Engine::Written write(Engine& engine, const Batch& batch, bool durable) {
    const Batch* const pointer = &batch;
    return engine.write(std::span(&pointer, 1), durable).front();
}
Engine::Written write(Engine& engine, const Changes& changes, bool durable) {
    return write(engine, batch_of(engine, changes), durable);
}

std::vector<Engine::Written> write_group(Engine& engine, const std::vector<Changes>& group, bool durable) {
    std::vector<Batch> batches;
    for (const Changes& changes : group) batches.push_back(batch_of(engine, changes));
    std::vector<const Batch*> pointers;
    for (const Batch& batch : batches) pointers.push_back(&batch);
    return engine.write(pointers, durable);
}

Result finish_work(Engine& engine) {
    while (engine.has_work()) {
        if (Result result = engine.step(); !result) return result;
    }
    return Result::ok();
}

Engine::Chance counting(std::uint64_t seed) {
    auto random = std::make_shared<std::mt19937_64>(seed);
    return [random] { return (*random)(); };
}

}  // namespace flaxdoor::store::test
