// A stand-in of a certificate authority: a certificate with its key, made on the spot, which is its own authority.
//
// Threading: none. Ownership: the files go with it. Errors: std::runtime_error where a file can't be written or a key
// can't be made.
#pragma once

#include <string>

namespace flaxdoor::standins {

class Certificate {
public:
    // For this name: a host name, or "IP:127.0.0.1" for an address. Valid from an hour ago for a day.
    explicit Certificate(const std::string& name);
    ~Certificate();
    Certificate(const Certificate&) = delete;
    Certificate& operator=(const Certificate&) = delete;

    // Files in PEM, and what they hold.
    [[nodiscard]] std::string certificate() const { return folder_ + "/certificate.pem"; }
    [[nodiscard]] std::string key() const { return folder_ + "/key.pem"; }
    [[nodiscard]] std::string certificate_text() const;
    [[nodiscard]] std::string key_text() const;

private:
    std::string folder_;
};

}  // namespace flaxdoor::standins
