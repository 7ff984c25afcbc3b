// A stand-in of a Kubernetes API server, as far as controllers and command-line clients need one: lists in
// pages, watches with bookmarks, optimistic concurrency, merge patches, status as a subresource, Leases,
// discovery. It fails at named points when told to. It uses nothing of the product.
//
// Threading: everything on the thread that runs the io_context. Ownership: the io_context must outlive it.
// Errors: a listener that can't be opened throws boost::system::system_error.
// Bounded: a request has 1 MiB at most; the history is kept until forget().
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace flaxdoor::standins {

class KubeApi {
public:
    using Json = nlohmann::json;
    struct Settings {
        boost::asio::ip::tcp::endpoint listen{boost::asio::ip::address_v4::loopback(), 0};
        std::string certificate, key;  // files in PEM; empty: no TLS
        std::string token;             // that requests must carry; empty: any
    };
    // One request as it came and what it was answered.
    struct Seen {
        std::string method, target, accept, body;
        int status = 0;
    };

    KubeApi(boost::asio::io_context& loop, Settings settings);
    ~KubeApi();
    KubeApi(const KubeApi&) = delete;
    KubeApi& operator=(const KubeApi&) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    // Creates the object or replaces all but its status, as an apply would; events go out. Returns it
    // as it is now. Name, uid and times that are given stay.
    Json put(Json object);
    void erase(const std::string& kind, const std::string& key);                    // key: namespace/name
    [[nodiscard]] Json get(const std::string& kind, const std::string& key) const;  // null: none
    // Another writer's merge patch of a status, as another controller would.
    bool patch_status(const std::string& kind, const std::string& key, const Json& status);
    // The documents of a step, in YAML: each is put; one with `delete: true` beside its metadata is erased.
    void play(const std::string& yaml);

    // ------------------------------------------------------------------------------------------------ faults
    void stop();                           // every connection ends, none is taken
    void start();                          // the same port
    void stall(bool on);                   // requests are read and never answered, watches are silent
    void cut_watches(bool mid_line);       // all that are open end; mid_line: after half an event
    void repeat_last(std::size_t events);  // the last ones are sent again on open watches
    void answer_next(int status, std::size_t count, int retry_after_s = 0);
    void forget(bool tell_by_event = true);  // older versions are gone: 410, as an event or a status
    // Another history: versions begin again at `version`, what there is stays (or nothing does), watches end.
    void restore(std::uint64_t version, bool empty);
    // Objects of this kind are not listed, though they are there.
    void hide(const std::string& kind, bool on);
    void send_bookmarks();
    // Writes one watch event exactly as given, with its line's end, to watches of that kind.
    void send_raw(const std::string& kind, const std::string& line);
    // Called just before a status patch is looked at: to let another writer be first.
    std::function<void(const std::string& kind, const std::string& key)> before_status;

    [[nodiscard]] const std::vector<Seen>& seen() const;
    [[nodiscard]] std::size_t watches() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::size_t status_writes() const;  // that changed something

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

// YAML to JSON, plain scalars by YAML 1.2's core schema. Its own, so that the product's shares no mistake
// with it.
[[nodiscard]] std::vector<nlohmann::json> documents_of(const std::string& yaml);

}  // namespace flaxdoor::standins
