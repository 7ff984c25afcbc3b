#include "real/links.h"

#include <array>
#include <boost/asio.hpp>
#include <charconv>

#include "standins/booking_node.h"
#include "standins/http_text.h"

namespace flaxdoor::lab::real {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

Verdict verdict_of(const standins::Answer& answer) {
    return answer.status == 200                           ? Verdict::served
           : answer.status == 429 || answer.status == 503 ? Verdict::refused
                                                          : Verdict::failed;
}

// Retry-After: seconds, whole or decimal.
Micros retry_after_of(const standins::Answer& answer) {
    const std::string_view text = answer["Retry-After"];
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc{} || !(seconds > 0) || seconds > 3600) return Micros{0};
    return Micros(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

struct Links::Link {
    explicit Link(asio::io_context& loop) : socket(loop) {}
    tcp::socket socket;
    std::uint32_t balancer = 0;
    std::uint64_t call = 0, last = 0;  // 0: none
    standins::Call text;
    standins::AnswerReader reader;
    std::string out;
    std::array<char, 4096> in{};
    bool used = false, once_more = false, closed = false;
};

Links::Links(asio::io_context& loop, Recorder& recorder) : loop_(loop), recorder_(recorder) {}
Links::~Links() {
    *lives_ = false;
    close_all();
}

std::uint64_t Links::now() const { return recorder_.since_begin(std::chrono::steady_clock::now()); }

void Links::set(std::uint32_t balancer, std::optional<tcp::endpoint> address) {
    if (balancers_.size() <= balancer) balancers_.resize(balancer + 1);
    balancers_[balancer].address = address;
}

void Links::send(std::uint32_t balancer, std::uint64_t call, const standins::Call& text) {
    auto& idle = balancers_[balancer].idle;
    while (!idle.empty()) {
        const LinkPtr link = idle.back().lock();
        idle.pop_back();
        if (!link || link->closed || link->call != 0) continue;
        link->call = call;
        link->text = text;
        by_call_[call] = link.get();
        return write(link);
    }
    open(balancer, call, text, false);
}

void Links::open(std::uint32_t balancer, std::uint64_t call, const standins::Call& text, bool once_more) {
    if (!balancers_[balancer].address) {
        asio::post(loop_, [this, lives = lives_, call] {
            if (*lives) callers_->broken(call, true, now());
        });
        return;
    }
    const auto link = std::make_shared<Link>(loop_);
    link->balancer = balancer;
    link->call = call;
    link->text = text;
    link->once_more = once_more;
    links_.emplace(link.get(), link);
    by_call_[call] = link.get();
    link->socket.async_connect(*balancers_[balancer].address, [this, link](Error error) {
        if (link->closed) return;
        if (error) return ended(link);
        link->socket.set_option(tcp::no_delay(true), error);
        read(link);
        write(link);
    });
}

void Links::write(const LinkPtr& link) {
    link->out.clear();
    standins::append_call(link->out, link->text);
    // Its time is that before the write: what follows from it is seen later.
    asio::async_write(link->socket, asio::buffer(link->out),
                      [this, link, call = link->call, at = now()](Error error, std::size_t) {
                          // A failed write is told by the read: an answer may have come before the end.
                          if (!error && !link->closed && link->call == call) callers_->taken(call, at);
                      });
}

void Links::read(const LinkPtr& link) {
    link->socket.async_read_some(asio::buffer(link->in), [this, link](Error error, std::size_t got) {
        if (link->closed) return;
        link->reader.feed({link->in.data(), got});
        came(link, static_cast<bool>(error));
        if (link->closed) return;
        if (error) return ended(link);
        read(link);
    });
}

void Links::read_out(std::uint32_t balancer) {
    std::vector<LinkPtr> all;
    for (const auto& [key, link] : links_) {
        if (link->balancer == balancer) all.push_back(link);
    }
    for (const LinkPtr& link : all) {
        Error error;
        link->socket.non_blocking(true, error);
        std::array<char, 4096> piece{};
        while (!link->closed && !error) {
            const std::size_t got = link->socket.read_some(asio::buffer(piece), error);
            if (error) break;
            link->reader.feed({piece.data(), got});
            came(link, false);
        }
    }
}

void Links::came(const LinkPtr& link, bool over) {
    standins::Answer answer;
    standins::Reading reading{};
    while ((reading = link->reader.next(answer, over)) == standins::Reading::whole) {
        const Verdict verdict = verdict_of(answer);
        if (link->call == 0) {  // nobody asked for this one
            if (link->last != 0) callers_->answered_again(link->last, verdict, now());
            return close(link);
        }
        if (verdict == Verdict::served && !standins::made_for(answer, link->text)) callers_->count_foreign();
        const std::uint64_t call = std::exchange(link->call, 0);
        link->last = call;
        link->used = true;
        by_call_.erase(call);
        callers_->taken(call, now());  // its write may be told later than its answer
        callers_->answered(call, verdict, retry_after_of(answer), now());
        if (link->closed) return;
        if (!answer.keeps || over) {
            if (link->reader.begun()) continue;
            return close(link);
        }
        if (!link->reader.begun()) balancers_[link->balancer].idle.push_back(link);
    }
    if (reading == standins::Reading::bad) ended(link);
}

void Links::ended(const LinkPtr& link) {
    const std::uint64_t call = std::exchange(link->call, 0);
    const bool crossed = link->used && !link->once_more && !link->reader.begun();
    by_call_.erase(call);
    close(link);
    if (call == 0) return;
    const bool killed = !balancers_[link->balancer].address;
    if (crossed && !killed) return open(link->balancer, call, link->text, true);
    callers_->broken(call, killed, now());
}

void Links::leave(std::uint64_t call) {
    const auto found = by_call_.find(call);
    if (found == by_call_.end()) return;
    const auto link = links_.find(found->second);
    by_call_.erase(found);
    if (link == links_.end()) return;
    const LinkPtr its = link->second;
    its->call = 0;
    close(its);
}

void Links::close(const LinkPtr& link) {
    if (std::exchange(link->closed, true)) return;
    Error ignored;
    link->socket.close(ignored);
    links_.erase(link.get());
}

void Links::close_all() {
    while (!links_.empty()) {
        const LinkPtr link = links_.begin()->second;
        link->call = 0;
        close(link);
    }
    by_call_.clear();
}

}  // namespace flaxdoor::lab::real
