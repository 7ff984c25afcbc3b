#include "routes/filters.h"

namespace flaxdoor::routes {

namespace {

std::string_view without_trailing_slash(std::string_view text) {
    while (!text.empty() && text.back() == '/') text.remove_suffix(1);
    return text;
}

std::uint16_t default_port(std::string_view scheme) { return scheme == "https" ? 443 : 80; }

}  // namespace

void apply_header_edit(http::Fields& fields, const HeaderEdit& edit) {
    for (const auto& [name, value] : edit.set) fields.set(name, value);
    for (const auto& [name, value] : edit.add) fields.add(name, value);
    for (const auto& name : edit.remove) fields.erase(name);
}

std::string edited_path(std::string_view path, std::string_view matched, const PathEdit& edit) {
    if (!edit.prefix) return edit.value.empty() ? "/" : edit.value;
    std::string_view rest = path;
    rest.remove_prefix(std::min(without_trailing_slash(matched).size(), rest.size()));
    std::string out(without_trailing_slash(edit.value));
    out += rest;
    if (out.empty() || out.front() != '/') out.insert(out.begin(), '/');
    return out;
}

std::string rewritten_target(const Target& target, std::string_view matched, const Rewrite& rewrite) {
    std::string out =
        rewrite.path ? edited_path(target.path, matched, *rewrite.path) : std::string(target.path);
    if (!target.query.empty()) out.append("?").append(target.query);
    return out;
}

std::string redirect_location(const Origin& origin, const Target& target, std::string_view matched,
                              const Redirect& redirect) {
    const std::string scheme = redirect.scheme ? *redirect.scheme : std::string(origin.scheme);
    // A redirect without a port uses the default port of the scheme that it names, else the listener's port.
    const std::uint16_t port = redirect.port     ? *redirect.port
                               : redirect.scheme ? default_port(scheme)
                                                 : origin.port;
    std::string out = scheme + "://";
    out += redirect.host ? std::string_view(*redirect.host) : origin.host;
    if (port != default_port(scheme)) out += ":" + std::to_string(port);
    Rewrite path_rewrite;
    path_rewrite.path = redirect.path;
    return out + rewritten_target(target, matched, path_rewrite);
}

}  // namespace flaxdoor::routes
