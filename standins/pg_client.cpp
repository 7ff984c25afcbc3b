#include "pg_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace standins::pg {

using boost::system::error_code;

Client::Client(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& to) : socket_(io) {
    socket_.connect(to);
}

void Client::send(const std::string& bytes) {
    error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
}

void Client::read() {
    socket_.async_read_some(boost::asio::buffer(room_),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                                if (error || self->bytes_ > kept_most) {
                                    self->ended_ = true;
                                    return;
                                }
                                self->in_.append(self->room_.data(), size);
                                self->bytes_ += size;
                                while (const auto message = take(self->in_)) {
                                    if (message->type == 'Z') ++self->readies_;
                                    self->messages_.push_back(*message);
                                }
                                if (!self->paused_) self->read();
                            });
}

void Client::resume() {
    paused_ = false;
    read();
}

void Client::close() {
    error_code ignored;
    socket_.close(ignored);
}

void Client::skip_login() {
    std::vector<Message> rest;
    bool over = false;
    for (const auto& m : messages_) {
        if (over || m.type == 'E') rest.push_back(m);
        if (m.type == 'K') {
            process = int32_at(m.body, 0);
            secret = int32_at(m.body, 4);
        }
        if (m.type == 'Z') over = true;
    }
    if (over) --readies_;
    messages_ = rest;
}

std::vector<Answer> Client::answers() const {
    std::vector<Answer> all;
    Answer now;
    bool any = false;
    for (const auto& m : messages_) {
        if (m.type == 'S' || m.type == 'N' || m.type == 'A') continue;
        any = true;
        if (m.type == 'Z') {
            now.status = m.body[0];
            all.push_back(now);
            now = {};
            any = false;
            continue;
        }
        now.types += m.type;
        if (m.type == 'E') {
            auto its = fields(m.body);
            ++now.errors;
            now.code = its['C'];
            now.severity = its['S'];
            now.detail = its['D'];
            now.text = its['M'];
        }
        if (m.type == 'C') now.tag = m.body.substr(0, m.body.size() - 1);
        if (m.type == 'D') now.rows.push_back(m.body.substr(6));
    }
    if (any) all.push_back(now);
    return all;
}

}  // namespace standins::pg
