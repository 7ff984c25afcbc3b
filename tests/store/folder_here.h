// A temporary folder on the real disk that is removed with its owner.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace flaxdoor::store::test {

class FolderHere {
public:
    FolderHere() {
        std::string name = (std::filesystem::temp_directory_path() / "store_test_XXXXXX").string();
        if (::mkdtemp(name.data())) path_ = name;
    }
    ~FolderHere() {
        std::error_code ignored;
        if (!path_.empty()) std::filesystem::remove_all(path_, ignored);
    }
    FolderHere(const FolderHere&) = delete;
    FolderHere& operator=(const FolderHere&) = delete;
    const std::string& path() const { return path_; }
    // Writes a file into the folder and returns its path.
    std::string write(const std::string& name, const std::string& content) const {
        std::ofstream(path_ + "/" + name, std::ios::binary) << content;
        return path_ + "/" + name;
    }

private:
    std::string path_;
};

}  // namespace flaxdoor::store::test
