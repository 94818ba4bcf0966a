// SPDX-License-Identifier: MIT
#include "node/http_client.hpp"

#include <algorithm>

#include "node/timeout_timer.hpp"

namespace fordwood::node {

namespace {

// Longer replies are invalid: the largest configuration has 1 MB in base64.
constexpr std::size_t kMaxReplyBytes = 16 << 20;

// Idle channels that are kept for each address.
constexpr std::size_t kMaxIdleChannels = 2;

// Servers close idle connections after a time that they need not announce. Within this time it is
// unlikely.
constexpr Duration kMaxIdleTime = std::chrono::milliseconds(1'500);

constexpr Duration kMaxConnectTime = std::chrono::milliseconds(1'000);

http::request_header<> makeHead(const HttpCall &call)
{
    http::request_header<> head;
    head.method_string(call.method);
    head.target(call.target);
    head.version(11);
    head.set(http::field::host, call.address);
    for (const auto &[name, value] : call.fields)
        head.set(name, value);
    if (!call.body.empty())
        head.set(http::field::content_type, "application/json");
    return head;
}

} // namespace

// One call and its reply. Keeps itself alive until it has called `done`.
class HttpClient::Call : public AnswerHandler, public std::enable_shared_from_this<Call>
{
public:
    Call(HttpClient &caller, const HttpCall &call, Done done)
        : m_caller(caller), m_call(call), m_done(std::move(done)), m_timer(caller.m_context)
    { }

    void start(Duration timeout)
    {
        m_keepAlive = shared_from_this();
        m_timer.start(timeout, [self = shared_from_this()] {
            self->finish(tl::unexpected(self->failure()));
        });
        m_channel = m_caller.takeIdle(m_call.address);
        if (m_channel) {
            sendRequest();
            return;
        }
        const auto endpoint = parseEndpoint<tcp>(m_call.address);
        if (!endpoint) {
            finish(tl::unexpected(HttpFailure::NotSent));
            return;
        }
        m_channel = std::make_shared<HttpChannel>(m_caller.m_context);
        m_channel->connect(*endpoint, {std::min(timeout, kMaxConnectTime), timeout, std::nullopt},
                           [self = shared_from_this()](const ErrorCode &ec) {
                               if (!self->m_keepAlive)
                                   return;
                               if (ec)
                                   self->finish(tl::unexpected(HttpFailure::NotSent));
                               else
                                   self->sendRequest();
                           });
    }

    void onHead(const http::response_header<> &head) override
    {
        m_reply.status = head.result_int();
        for (const auto &it : head)
            m_reply.fields.emplace_back(it.name_string(), it.value());
    }

    bool onBody(std::string_view bytes) override
    {
        m_reply.body.append(bytes);
        if (m_reply.body.size() <= kMaxReplyBytes)
            return true;
        finish(tl::unexpected(failure()));
        return false;
    }

    // The texts of the platform and of peers are read as a whole, which fails for a part of one.
    void onAnswerEnd(AnswerEnd /*end*/) override
    {
        m_caller.keepIdle(m_call.address, m_channel);
        m_channel.reset();
        finish(std::move(m_reply));
    }

    void onChannelFailure(const ErrorCode &) override { finish(tl::unexpected(failure())); }

private:
    HttpFailure failure() const
    {
        if (!m_sent)
            return HttpFailure::NotSent;
        return m_reply.status == 0 ? HttpFailure::NoAnswer : HttpFailure::AnswerCut;
    }

    void sendRequest()
    {
        m_sent = true;
        m_channel->exchange(makeHead(m_call), std::make_shared<const std::string>(m_call.body),
                            *this);
    }

    void finish(const HttpResult &result)
    {
        const auto self = std::move(m_keepAlive);
        if (!self)
            return;
        m_timer.cancel();
        if (m_channel)
            m_channel->close();
        m_channel.reset();
        m_done(result);
    }

    HttpClient &m_caller;
    HttpCall m_call;
    Done m_done;
    TimeoutTimer m_timer;
    std::shared_ptr<HttpChannel> m_channel;
    std::shared_ptr<Call> m_keepAlive;
    HttpReply m_reply;
    bool m_sent = false;
};

void HttpClient::send(const HttpCall &call, Duration timeout, Done done)
{
    std::make_shared<Call>(*this, call, std::move(done))->start(timeout);
}

std::shared_ptr<HttpChannel> HttpClient::takeIdle(const std::string &address)
{
    const auto [begin, end] = m_idle.equal_range(address);
    std::shared_ptr<HttpChannel> found;
    const TimePoint now = m_clock.now();
    for (auto it = begin; it != end && !found;) {
        if (now - it->second.idleSince < kMaxIdleTime && it->second.channel->isReusable())
            found = it->second.channel;
        it = m_idle.erase(it);
    }
    return found;
}

void HttpClient::keepIdle(const std::string &address, std::shared_ptr<HttpChannel> channel)
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_idle,
                  [&](const auto &it) { return now - it.second.idleSince >= kMaxIdleTime; });
    if (channel->isReusable() && m_idle.count(address) < kMaxIdleChannels)
        m_idle.emplace(address, IdleChannel{std::move(channel), now});
}

} // namespace fordwood::node
