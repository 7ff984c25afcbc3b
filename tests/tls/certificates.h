// A certificate with its key, made on the spot.
#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <filesystem>
#include <string>

#include "program.h"

namespace flaxdoor::tls::test {

// Its own authority, for this name (a host name; "IP:127.0.0.1" for an address). Files go with it.
class Certificate {
public:
    explicit Certificate(const std::string& name) {
        std::string made = (std::filesystem::temp_directory_path() / "flaxdoor-tls-XXXXXX").string();
        folder_ = ::mkdtemp(made.data());
        ::chmod(folder_.c_str(), 0755);
        EVP_PKEY* const key = EVP_RSA_gen(2048);
        X509* const x509 = X509_new();
        X509_set_version(x509, 2);
        ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509), -3600);
        X509_gmtime_adj(X509_getm_notAfter(x509), 86400);
        X509_set_pubkey(x509, key);
        X509_NAME_add_entry_by_txt(X509_get_subject_name(x509), "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char*>("test"), -1, -1, 0);
        X509_set_issuer_name(x509, X509_get_subject_name(x509));
        const std::string names = name.starts_with("IP:") ? name : "DNS:" + name;
        X509_EXTENSION* const extension =
            X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, names.c_str());
        X509_add_ext(x509, extension, -1);
        X509_EXTENSION_free(extension);
        X509_sign(x509, key, EVP_sha256());
        FILE* file = std::fopen(certificate().c_str(), "w");
        PEM_write_X509(file, x509);
        std::fclose(file);
        file = std::fopen(this->key().c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        X509_free(x509);
        EVP_PKEY_free(key);
    }
    ~Certificate() { std::filesystem::remove_all(folder_); }
    Certificate(const Certificate&) = delete;

    std::string certificate() const { return folder_ + "/certificate.pem"; }
    std::string key() const { return folder_ + "/key.pem"; }
    std::string certificate_text() const { return flaxdoor::test::content_of(certificate()); }
    std::string key_text() const { return flaxdoor::test::content_of(key()); }

private:
    std::string folder_;
};

}  // namespace flaxdoor::tls::test
