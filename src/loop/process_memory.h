// What this process holds of the machine's memory.
//
// Threading: any thread.
#pragma once

#include <cstddef>

namespace flaxdoor::loop {

// Returns the resident size in bytes; zero if the system does not tell it.
[[nodiscard]] std::size_t resident_bytes();

// Makes the allocator give freed blocks back to the system instead of keeping them: large blocks when they are freed,
// the end of the heap beyond a small reserve. To be called once, before the process serves.
void return_freed_memory();

// Gives back what the allocator keeps now. Takes milliseconds on a large heap.
void trim_heap();

}  // namespace flaxdoor::loop
