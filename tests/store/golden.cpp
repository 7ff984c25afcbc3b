// Writes a store of the current format, and a text of its content, into a folder: store_golden
// tests/store/golden/VERSION. It is run once per format version; format_test.cpp reads all versions.
#include <filesystem>
#include <fstream>
#include <iostream>

#include "history.h"

using namespace flaxdoor::store;
using namespace flaxdoor::store::test;

// The store has runs on several levels, two logs with batches, and trimmed streams. Its content is
// deterministic.
int main(int argument_count, char** arguments) {
    if (argument_count != 2 || std::filesystem::exists(arguments[1])) {
        std::cerr << "usage: store_golden NEW_FOLDER\n";
        return 2;
    }
    SimFiles files;
    const Recording recording = record(files, files, 77, 77, 60);
    auto opened = Engine::open(files, small_options(), counting(78));
    WorkloadMaker maker(79);
    Model model = recording.history.last();
    for (int i = 0; i < 4; ++i) {
        const Changes changes = maker.next();
        if (write(*opened.engine, changes).result) model.apply(changes);
    }
    Image image = files.disk().visible();
    image["text"] = model.text();
    std::filesystem::create_directories(arguments[1]);
    for (const auto& [name, content] : image)
        std::ofstream(std::filesystem::path(arguments[1]) / name, std::ios::binary) << content;
}
