// [http]: client connections.
#pragma once

#include "settings/schema.h"

namespace flaxdoor::settings::http {

inline constexpr Key<Micros> request_timeout{
    {.table = "http",
     .name = "request_timeout",
     .fallback = std::chrono::seconds(2),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::minutes(10),
     .takes = Takes::reload,
     .meaning =
         "How long a request may take from its first byte to its last, and a new connection until its first "
         "request is there."}};

inline constexpr Key<Micros> idle_timeout{
    {.table = "http",
     .name = "idle_timeout",
     .fallback = std::chrono::seconds(300),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::hours(24),
     .takes = Takes::reload,
     .meaning = "How long a kept connection may stay without a request."}};

inline constexpr Key<Micros> idle_timeout_crowded{
    {.table = "http",
     .name = "idle_timeout_crowded",
     .fallback = std::chrono::seconds(2),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::hours(24),
     .takes = Takes::reload,
     .meaning = "The same while more than half of the connections that clients may hold are open."}};

inline constexpr Key<Micros> send_timeout{{.table = "http",
                                           .name = "send_timeout",
                                           .fallback = std::chrono::seconds(10),
                                           .least = std::chrono::milliseconds(10),
                                           .most = std::chrono::hours(1),
                                           .takes = Takes::reload,
                                           .meaning = "How long a client may take to read an answer."}};

inline constexpr Key<Micros> linger_timeout{
    {.table = "http",
     .name = "linger_timeout",
     .fallback = std::chrono::seconds(1),
     .least = std::chrono::milliseconds(0),
     .most = std::chrono::minutes(1),
     .takes = Takes::reload,
     .meaning = "How long a client may take to end its side of a connection after the last answer on it."}};

inline constexpr Key<Bytes> linger_bytes{{.table = "http",
                                          .name = "linger_bytes",
                                          .fallback = kibibytes(256),
                                          .least = Bytes{0},
                                          .most = mebibytes(64),
                                          .takes = Takes::reload,
                                          .meaning = "How much of what a client still sends meanwhile is "
                                                     "read and dropped before the connection is cut."}};

inline constexpr Key<double> client_share{
    {.table = "http",
     .name = "client_share",
     .fallback = 0.5,
     .least = 0.1,
     .most = 0.9,
     .unit = "of the descriptors",
     .takes = Takes::restart,
     .meaning = "Share of the descriptors that clients' connections may hold; the rest is for upstreams."}};

inline constexpr Key<double> keepalive_share{
    {.table = "http",
     .name = "keepalive_share",
     .fallback = 0.25,
     .least = 0.05,
     .most = 0.9,
     .unit = "of the descriptors",
     .takes = Takes::reload,
     .meaning =
         "Share of the descriptors that connections of clients which have sent a request may hold; beyond it "
         "the one idle longest is closed."}};

Table table();

}  // namespace flaxdoor::settings::http
