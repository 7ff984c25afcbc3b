#include "tls/tls.h"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <utility>

namespace flaxdoor::tls {

namespace {

std::string error_text() {
    std::string text;
    while (const unsigned long code = ERR_get_error()) {
        const char* const why = ERR_reason_error_string(code);
        if (text.empty()) text = why ? why : "error " + std::to_string(code);
    }
    return text.empty() ? "unknown error" : text;
}

using OwnedContext = std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)>;
using OwnedSsl = std::unique_ptr<SSL, decltype(&SSL_free)>;

OwnedContext make_context(const SSL_METHOD* method) {
    OwnedContext context(SSL_CTX_new(method), SSL_CTX_free);
    if (!context) throw Error("", "TLS: " + error_text());
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);  // saves the buffers of idle connections
    return context;
}

}  // namespace

using OwnedBio = std::unique_ptr<BIO, decltype(&BIO_free)>;
using OwnedCertificate = std::unique_ptr<X509, decltype(&X509_free)>;
using OwnedKey = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;

namespace {

OwnedBio memory_bio(const std::string& text) {
    return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), BIO_free};
}

// The first certificate of the text is presented; those behind it form its chain. Returns an empty string on
// success, otherwise what is wrong.
std::string load_pem(SSL_CTX* context, const std::string& certificate, const std::string& key) {
    ERR_clear_error();
    const OwnedBio certificate_bio = memory_bio(certificate), key_bio = memory_bio(key);
    if (!certificate_bio || !key_bio) throw std::bad_alloc();
    const OwnedCertificate first(PEM_read_bio_X509(certificate_bio.get(), nullptr, nullptr, nullptr),
                                 X509_free);
    if (!first || SSL_CTX_use_certificate(context, first.get()) != 1)
        return "no certificate can be read: " + error_text();
    while (X509* const next = PEM_read_bio_X509(certificate_bio.get(), nullptr, nullptr, nullptr)) {
        if (SSL_CTX_add0_chain_cert(context, next) == 1) continue;
        X509_free(next);
        return "its chain can't be used: " + error_text();
    }
    ERR_clear_error();  // PEM_read_bio_X509 reports the end of the text as an error
    const OwnedKey private_key(PEM_read_bio_PrivateKey(key_bio.get(), nullptr, nullptr, nullptr),
                               EVP_PKEY_free);
    if (!private_key) return "no private key can be read: " + error_text();
    if (SSL_CTX_use_PrivateKey(context, private_key.get()) != 1 || SSL_CTX_check_private_key(context) != 1)
        return "the key is not the certificate's: " + error_text();
    return {};
}

bool host_matches(const std::string& pattern, const std::string& name) {
    if (pattern.compare(0, 2, "*.") != 0) return pattern == name;
    const std::size_t suffix = pattern.size() - 1;
    return name.size() > suffix && name.compare(name.size() - suffix, suffix, pattern, 1, suffix) == 0;
}

int select_http_alpn(SSL*, const unsigned char** out, unsigned char* size, const unsigned char* in,
                     unsigned int in_size, void*) {
    static constexpr unsigned char http_protocol[] = "\x08http/1.1";
    unsigned char* chosen = nullptr;
    const int found =
        SSL_select_next_proto(&chosen, size, http_protocol, sizeof http_protocol - 1, in, in_size);
    *out = chosen;
    return found == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_NOACK;
}

}  // namespace

struct Context::Impl {
    OwnedContext context;
    // Certificates behind one address, ordered from the most specific host name to the least specific one.
    std::vector<std::pair<std::string, OwnedContext>> certificates_by_host{};

    static int select_certificate(SSL* ssl, int* alert, void* argument) {
        const auto& impl = *static_cast<const Impl*>(argument);
        const char* const asked = SSL_get_servername(ssl, TLSEXT_NAMETYPE_host_name);
        std::string name = asked ? asked : "";
        for (char& c : name) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
        for (const auto& [host, context] : impl.certificates_by_host) {
            if (!host.empty() && (name.empty() || !host_matches(host, name))) continue;
            SSL_set_SSL_CTX(ssl, context.get());
            return SSL_TLSEXT_ERR_OK;
        }
        *alert = SSL_AD_UNRECOGNIZED_NAME;
        return SSL_TLSEXT_ERR_ALERT_FATAL;
    }
};

Context::Context(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Context::~Context() = default;

std::shared_ptr<const Context> Context::for_clients(const std::string& certificate_file,
                                                    const std::string& key_file) {
    OwnedContext created = make_context(TLS_server_method());
    ERR_clear_error();
    if (SSL_CTX_use_certificate_chain_file(created.get(), certificate_file.c_str()) != 1) {
        throw Error(certificate_file, "no certificate can be read: " + error_text());
    }
    if (SSL_CTX_use_PrivateKey_file(created.get(), key_file.c_str(), SSL_FILETYPE_PEM) != 1) {
        throw Error(key_file, "no private key can be read: " + error_text());
    }
    if (SSL_CTX_check_private_key(created.get()) != 1) {
        throw Error(key_file, "the key is not the certificate's: " + error_text());
    }
    return std::shared_ptr<const Context>(new Context(std::make_unique<Impl>(Impl{std::move(created)})));
}

std::shared_ptr<const Context> Context::for_servers(const std::string& authorities_file) {
    OwnedContext created = make_context(TLS_client_method());
    ERR_clear_error();
    const int read = authorities_file.empty()
                         ? SSL_CTX_set_default_verify_paths(created.get())
                         : SSL_CTX_load_verify_locations(created.get(), authorities_file.c_str(), nullptr);
    if (read != 1) throw Error(authorities_file, "no authorities can be read: " + error_text());
    return std::shared_ptr<const Context>(new Context(std::make_unique<Impl>(Impl{std::move(created)})));
}

std::shared_ptr<const Context> Context::for_servers(const ServerTexts& texts) {
    OwnedContext created = make_context(TLS_client_method());
    ERR_clear_error();
    if (texts.authorities.empty()) {
        if (SSL_CTX_set_default_verify_paths(created.get()) != 1)
            throw Error("", "no authorities can be read: " + error_text());
    } else {
        const OwnedBio all = memory_bio(texts.authorities);
        if (!all) throw std::bad_alloc();
        int count = 0;
        while (true) {
            const OwnedCertificate authority(PEM_read_bio_X509(all.get(), nullptr, nullptr, nullptr),
                                             X509_free);
            if (!authority) break;
            count += X509_STORE_add_cert(SSL_CTX_get_cert_store(created.get()), authority.get()) == 1 ? 1 : 0;
        }
        ERR_clear_error();
        if (count == 0) throw Error("", "no authorities can be read");
    }
    if (!texts.certificate.empty()) {
        const std::string fault = load_pem(created.get(), texts.certificate, texts.key);
        if (!fault.empty()) throw Error("", fault);
    }
    return std::shared_ptr<const Context>(new Context(std::make_unique<Impl>(Impl{std::move(created)})));
}

std::shared_ptr<const Context> Context::for_clients(const std::vector<Named>& all) {
    auto impl = std::make_unique<Impl>(Impl{make_context(TLS_server_method())});
    for (const Named& entry : all) {
        OwnedContext created = make_context(TLS_server_method());
        const std::string fault = load_pem(created.get(), entry.certificate, entry.key);
        if (!fault.empty()) throw Error(entry.host, fault);
        SSL_CTX_set_alpn_select_cb(created.get(), select_http_alpn, nullptr);
        impl->certificates_by_host.emplace_back(entry.host, std::move(created));
    }
    std::stable_sort(impl->certificates_by_host.begin(), impl->certificates_by_host.end(),
                     [](const auto& a, const auto& b) {
                         const auto rank = [](const std::string& host) {
                             return std::pair(host.empty()          ? 2
                                              : host.front() == '*' ? 1
                                                                    : 0,
                                              -static_cast<long>(host.size()));
                         };
                         return rank(a.first) < rank(b.first);
                     });
    SSL_CTX_set_tlsext_servername_callback(impl->context.get(), Impl::select_certificate);
    SSL_CTX_set_tlsext_servername_arg(impl->context.get(), impl.get());
    return std::shared_ptr<const Context>(new Context(std::move(impl)));
}

std::string Context::fault_of(const std::string& certificate, const std::string& key) {
    const OwnedContext created = make_context(TLS_server_method());
    return load_pem(created.get(), certificate, key);
}

struct Channel::Impl {
    explicit Impl(std::shared_ptr<const Context> from)
        : context(std::move(from)), ssl(SSL_new(context->impl_->context.get()), SSL_free) {
        if (!ssl) throw std::bad_alloc();
        in = BIO_new(BIO_s_mem());
        out = BIO_new(BIO_s_mem());
        if (!in || !out) throw std::bad_alloc();
        SSL_set_bio(ssl.get(), in, out);
    }

    // Advances the handshake, sends the queued bytes and decrypts what has been received, as far as possible.
    void advance() {
        if (failed || ended) return;
        ERR_clear_error();
        if (!SSL_is_init_finished(ssl.get()) && !check_result(SSL_do_handshake(ssl.get()))) return;
        if (!SSL_is_init_finished(ssl.get())) return;
        send_unsent();
        std::array<char, 16 << 10> buffer;
        while (!failed) {
            const int count = SSL_read(ssl.get(), buffer.data(), static_cast<int>(buffer.size()));
            if (count > 0) {
                plain.append(buffer.data(), static_cast<std::size_t>(count));
                continue;
            }
            if (SSL_get_error(ssl.get(), count) == SSL_ERROR_ZERO_RETURN) {
                ended = true;
                return;
            }
            if (!check_result(count)) return;
            return;
        }
    }

    void send_unsent() {
        while (!unsent.empty() && !failed) {
            const int sent = SSL_write(ssl.get(), unsent.data(),
                                       static_cast<int>(std::min<std::size_t>(unsent.size(), 1 << 20)));
            if (sent <= 0) {
                (void)check_result(sent);
                return;
            }
            unsent.erase(0, static_cast<std::size_t>(sent));
        }
    }

    // Returns false if the channel has failed.
    bool check_result(int result) {
        if (result > 0) return true;
        const int ssl_error = SSL_get_error(ssl.get(), result);
        if (ssl_error == SSL_ERROR_WANT_READ || ssl_error == SSL_ERROR_WANT_WRITE) return true;
        failed = true;
        const long verified = SSL_get_verify_result(ssl.get());
        error = verified != X509_V_OK ? X509_verify_cert_error_string(verified) : error_text();
        return false;
    }

    void fetch_output() {
        char* bytes = nullptr;
        const long size = BIO_get_mem_data(out, &bytes);
        if (size <= 0) return;
        output.append(bytes, static_cast<std::size_t>(size));
        (void)BIO_reset(out);
    }

    std::shared_ptr<const Context> context;
    OwnedSsl ssl;
    BIO* in = nullptr;  // owned by `ssl`, as is `out`
    BIO* out = nullptr;
    std::string plain, unsent, output, error;
    bool failed = false, ended = false;
};

Channel::Channel(std::shared_ptr<const Context> context) : impl_(std::make_unique<Impl>(std::move(context))) {
    SSL_set_accept_state(impl_->ssl.get());
}

Channel::Channel(std::shared_ptr<const Context> context, const std::string& name)
    : impl_(std::make_unique<Impl>(std::move(context))) {
    SSL* const ssl = impl_->ssl.get();
    SSL_set_connect_state(ssl);
    if (!name.empty()) {
        SSL_set_verify(ssl, SSL_VERIFY_PEER, nullptr);
        X509_VERIFY_PARAM* const wanted = SSL_get0_param(ssl);
        if (X509_VERIFY_PARAM_set1_ip_asc(wanted, name.c_str()) != 1) {
            X509_VERIFY_PARAM_set_hostflags(wanted, X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
            X509_VERIFY_PARAM_set1_host(wanted, name.c_str(), name.size());
            SSL_set_tlsext_host_name(ssl, name.c_str());
        }
    }
    impl_->advance();
}

Channel::~Channel() = default;

bool Channel::receive(std::string_view bytes) {
    while (!bytes.empty() && !impl_->failed && !impl_->ended) {
        const int taken = BIO_write(impl_->in, bytes.data(),
                                    static_cast<int>(std::min<std::size_t>(bytes.size(), 1 << 20)));
        if (taken <= 0) throw std::bad_alloc();
        bytes.remove_prefix(static_cast<std::size_t>(taken));
        impl_->advance();
    }
    return !impl_->failed && !impl_->ended;
}

std::string Channel::take_plain() { return std::exchange(impl_->plain, {}); }

void Channel::send(std::string_view plain) {
    impl_->unsent += plain;
    impl_->advance();
}

std::string_view Channel::output() {
    impl_->fetch_output();
    return impl_->output;
}
void Channel::wrote(std::size_t bytes) { impl_->output.erase(0, bytes); }

void Channel::finish() {
    if (impl_->failed || !established()) return;
    impl_->send_unsent();
    SSL_shutdown(impl_->ssl.get());
}

bool Channel::established() const { return SSL_is_init_finished(impl_->ssl.get()) != 0; }
std::string Channel::server_name() const {
    const char* const name = SSL_get_servername(impl_->ssl.get(), TLSEXT_NAMETYPE_host_name);
    return name ? name : "";
}
bool Channel::failed() const { return impl_->failed; }
bool Channel::ended() const { return impl_->ended; }
const std::string& Channel::error() const { return impl_->error; }

}  // namespace flaxdoor::tls
