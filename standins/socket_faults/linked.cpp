#include "linked.h"

namespace flaxdoor::standins::sockets {

namespace {

thread_local const Faults* here = nullptr;

}  // namespace

FaultsHere::FaultsHere(const std::string& plan, const std::string& calls)
    : faults_(plan, calls.empty() ? nullptr : calls.c_str()) {
    here = &faults_;
}
FaultsHere::~FaultsHere() { here = nullptr; }

const Faults* faults() noexcept { return here; }

}  // namespace flaxdoor::standins::sockets
