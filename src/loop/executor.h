// The executor of one instance: the event loop of one thread, or a strand over several threads. It never runs
// two handlers at once.
#pragma once

#include <boost/asio/any_io_executor.hpp>

namespace flaxdoor::loop {

using Executor = boost::asio::any_io_executor;

}  // namespace flaxdoor::loop
