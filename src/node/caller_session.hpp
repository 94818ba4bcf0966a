// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALLER_SESSION_HPP_INCLUDED
#define FORDWOOD_NODE_CALLER_SESSION_HPP_INCLUDED

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "node/call_run.hpp"
#include "node/caller_port.hpp"
#include "node/traffic.hpp"

namespace fordwood::node {

// One connection of a caller: a request, its answer, the next request. While it rests it holds no
// buffer, only its socket and a timer.
class CallerSession : public CallerPort, public std::enable_shared_from_this<CallerSession>
{
public:
    using Ended = std::function<void(CallerSession *)>;

    CallerSession(Traffic &traffic, tcp::socket socket, Ended ended);

    void start();

    // The planned stop: closes the connection if it rests, else after its answer.
    void closeWhenIdle();

    // From CallerPort:
    void sendWhole(http::response_header<> head, std::string body) override;
    void beginStream(http::response_header<> head) override;
    bool sendPiece(std::string_view bytes) override;
    void endStream() override;
    void cut() override;

private:
    // What reading one request needs; a resting connection has none.
    struct Reading
    {
        explicit Reading(boost::beast::flat_buffer rest) : buffer(std::move(rest)) { }

        boost::beast::flat_buffer buffer;
        http::request_parser<http::string_body> parser;
        TimePoint begun{};
    };

    void rest();
    void readHead();
    void takeHead(const ErrorCode &ec);
    void readBody();
    void takeRequest(const ErrorCode &ec);
    void watchCaller();
    void refuse(const ErrorCode &ec);
    void refuseWith(Reason reason, http::status status);
    void setTimer(Duration patience, void (CallerSession::*passed)());
    void readTooSlow();
    CallerLimits limits() const;
    void setConnectionFields(http::response_header<> &head) const;
    void writeNext();
    void answered();
    void callerGone();
    void releaseRun();
    void lingeringClose();
    void discardRest();
    void close();

    Traffic &m_traffic;
    tcp::socket m_socket;
    net::steady_timer m_timer;
    Ended m_ended;
    std::shared_ptr<Reading> m_reading; // kept by a read until its handler has run
    boost::beast::flat_buffer m_left; // bytes of the next request
    std::shared_ptr<CallRun> m_run;
    std::deque<std::string> m_outgoing;
    std::size_t m_outgoingBytes = 0;
    bool m_isWriting = false;
    bool m_answerEnds = false; // nothing follows what is outgoing
    bool m_callerWaits = false; // the run was told that the caller reads slowly
    bool m_keepAlive = true;
    bool m_closeWhenIdle = false;
    bool m_isClosing = false; // nothing more is sent, nor taken
    bool m_isClosed = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALLER_SESSION_HPP_INCLUDED
