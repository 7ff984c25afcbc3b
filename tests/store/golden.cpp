// Writes a store of today's format and what it holds into a folder: store_golden tests/store/golden/VERSION.
// Done once for each version; format_test.cpp reads them ever after.
#include <filesystem>
#include <fstream>
#include <iostream>

#include "history.h"

using namespace flaxdoor::store;
using namespace flaxdoor::store::test;

// Runs on levels, two logs with batches, streams that were trimmed; nothing of it by chance.
int main(int count, char** words) {
    if (count != 2 || std::filesystem::exists(words[1])) {
        std::cerr << "usage: store_golden FOLDER (a new one)\n";
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
    std::filesystem::create_directories(words[1]);
    for (const auto& [name, content] : image)
        std::ofstream(std::filesystem::path(words[1]) / name, std::ios::binary) << content;
}
