#include "certificate.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>

namespace flaxdoor::standins {

namespace {

std::string content_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using X509Pointer = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

void check(bool good, const std::string& what) {
    if (!good) throw std::runtime_error(what);
}

File written(const std::string& path) {
    File file(std::fopen(path.c_str(), "w"), &std::fclose);
    check(file != nullptr, path);
    return file;
}

}  // namespace

Certificate::Certificate(const std::string& name) {
    std::string made = (std::filesystem::temp_directory_path() / "flaxdoor-tls-XXXXXX").string();
    check(::mkdtemp(made.data()) != nullptr, made);
    folder_ = made;
    check(::chmod(folder_.c_str(), 0755) == 0, folder_);
    const Key its_key(EVP_RSA_gen(2048), &EVP_PKEY_free);
    const X509Pointer x509(X509_new(), &X509_free);
    check(its_key && x509, "no key");
    X509_set_version(x509.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x509.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(x509.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(x509.get()), 86400);
    X509_set_pubkey(x509.get(), its_key.get());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(x509.get()), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>("test"), -1, -1, 0);
    X509_set_issuer_name(x509.get(), X509_get_subject_name(x509.get()));
    const std::string names = name.starts_with("IP:") ? name : "DNS:" + name;
    X509_EXTENSION* const extension =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, names.c_str());
    check(extension != nullptr, "no name: " + name);
    X509_add_ext(x509.get(), extension, -1);
    X509_EXTENSION_free(extension);
    check(X509_sign(x509.get(), its_key.get(), EVP_sha256()) > 0, "not signed");
    PEM_write_X509(written(certificate()).get(), x509.get());
    PEM_write_PrivateKey(written(key()).get(), its_key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

Certificate::~Certificate() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string Certificate::certificate_text() const { return content_of(certificate()); }
std::string Certificate::key_text() const { return content_of(key()); }

}  // namespace flaxdoor::standins
