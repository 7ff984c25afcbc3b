// Connects a Mount to a RESTinio server (0.6.16, with Boost.Asio). Files that include this header compile
// slowly, so only the one that runs the server should include it.
//
//     struct Traits : restinio::default_single_thread_traits_t {
//         using request_handler_t = restinio::sync_chain::fixed_size_chain_t<2>;
//         using stream_socket_t = flaxdoor::middleware::Socket;
//         using connection_state_listener_t = flaxdoor::middleware::Departures;
//     };
//     auto mount = std::make_shared<flaxdoor::middleware::Mount>(loop.get_executor(), balancer);
//     restinio::http_server_t<Traits> server(
//         restinio::external_io_context(loop), [&](auto& settings) {
//             flaxdoor::middleware::set_limits(settings, options.settings)
//                 .connection_state_listener(std::make_shared<flaxdoor::middleware::Departures>(mount))
//                 .request_handler(flaxdoor::middleware::Handler(mount), my_handler);
//         });
//
// Threading: The server may run on the mount's loop or on other loops. RESTinio's strand per connection
//            suffices.
// Ownership: The handler and the connection listener share ownership of the mount, which must live as long as
//            the server.
// Errors:    If a handler of the application throws, RESTinio closes that handler's connection.
// docs/operators/library.md lists the differences between RESTinio and the daemon's listener.
#pragma once

#ifndef RESTINIO_USE_BOOST_ASIO
#error "RESTinio must be built with Boost.Asio: link flaxdoor::restinio, or define RESTINIO_USE_BOOST_ASIO"
#endif

#include <algorithm>
#include <chrono>
#include <exception>
#include <memory>
#include <restinio/connection_state_listener.hpp>
#include <restinio/http_server.hpp>
#include <restinio/message_builders.hpp>
#include <restinio/request_handler.hpp>
#include <restinio/settings.hpp>
#include <restinio/sync_chain/fixed_size.hpp>
#include <string>
#include <utility>
#include <vector>

#include "flaxdoor/middleware/mount.h"
#include "flaxdoor/middleware/socket.h"

namespace flaxdoor::middleware {

// The first handler of the chain. Passes requests that the mount does not serve to the next handler.
class Handler {
public:
    explicit Handler(std::shared_ptr<Mount> mount) : mount_(std::move(mount)) {}

    template <typename ExtraData>
    ::restinio::request_handling_status_t operator()(
        const ::restinio::generic_request_handle_t<ExtraData>& request) const {
        const auto& header = request->header();
        if (!mount_->takes(header.request_target())) return ::restinio::request_not_handled();
        ClientRequest client_request;
        client_request.connection = request->connection_id();
        client_request.last = !header.should_keep_alive();
        client_request.request.method = header.method().c_str();
        client_request.request.target = header.request_target();
        client_request.request.headers.reserve(header.fields_count());
        header.for_each_field([&](const auto& field) {
            client_request.request.headers.emplace_back(field.name(), field.value());
        });
        client_request.request.body = request->body();
        mount_->serve(std::move(client_request),
                      [request](HttpAnswer answer, std::shared_ptr<void> until_written) {
                          try {
                              respond(*request, std::move(answer), std::move(until_written));
                          } catch (const std::exception&) {
                              // Out of memory: RESTinio closes the connection when the request times out.
                          }
                      });
        return ::restinio::request_accepted();
    }

private:
    template <typename ExtraData>
    static void respond(::restinio::generic_request_t<ExtraData>& request, HttpAnswer answer,
                        std::shared_ptr<void> until_written) {
        auto response = request.create_response(::restinio::http_status_line_t(
            ::restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status)),
            std::string(reason_of(answer.status))));
        for (auto& [name, value] : answer.headers) response.append_header(std::move(name), std::move(value));
        response.set_body(std::move(answer.body));
        if (answer.close) response.connection_close();
        // RESTinio calls this after the write or its failure, or destroys it with the connection.
        response.done([until_written = std::move(until_written)](const auto&) {});
    }

    std::shared_ptr<Mount> mount_;
};

// A connection state listener that reports ended connections to the mounts of a server.
class Departures {
public:
    explicit Departures(std::shared_ptr<Mount> mount) : mounts_{std::move(mount)} {}
    explicit Departures(std::vector<std::shared_ptr<Mount>> mounts) : mounts_(std::move(mounts)) {}

    void state_changed(const ::restinio::connection_state::notice_t& notice) {
        if (::restinio::holds_alternative<::restinio::connection_state::accepted_t>(notice.cause())) return;
        for (const auto& mount : mounts_) mount->left(notice.connection_id());
    }

private:
    const std::vector<std::shared_ptr<Mount>> mounts_;
};

// Applies the server settings that a mount needs, and the limits of the daemon's listener where RESTinio has
// such limits. The host may override them afterwards.
template <typename ServerSettings>
ServerSettings& set_limits(ServerSettings& settings, const Settings& classes) {
    Micros longest{};
    for (const ClassSettings& class_settings : classes.classes)
        longest = std::max(longest, class_settings.deadline);
    return settings
        // RESTinio reads on while a request is served only if a second one may be pipelined, and it notices a
        // disconnected client only by reading.
        .max_pipelined_requests(2)
        // RESTinio closes the connection of a request that takes longer, so every request must have been
        // answered by then.
        .handle_request_timeout(longest + std::chrono::seconds(2))
        .write_http_response_timelimit(std::chrono::seconds(10))
        .incoming_http_msg_limits(::restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(16 * 1024)
                                      .max_field_name_size(1024)
                                      .max_field_value_size(16 * 1024)
                                      .max_field_count(256)
                                      .max_body_size(128 * 1024));  // the balancer answers 413 above 64 KiB
}

}  // namespace flaxdoor::middleware
