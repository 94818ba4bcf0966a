// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_STANDINS_BLOCKING_SERVER_HPP_INCLUDED
#define FORDWOOD_TESTS_STANDINS_BLOCKING_SERVER_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace fordwood::standins {

// A complete request to a stand-in.
struct Request
{
    std::string method;
    std::string path; // without the query
    std::string query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string &name) const;
};

// The answer of a stand-in.
struct Answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::map<std::string, std::string> headers;
    // Called repeatedly for the parts of a streamed answer until it returns an empty text. It may
    // block. When the client has disconnected, it is called once more, with `isClientGone` set to
    // true.
    std::function<std::string(bool isClientGone)> nextPart;
    bool cutConnection = false; // close the connection without an answer
    bool cutAfterParts = false; // close the connection without the final chunk
};

// A small HTTP server with a thread for each connection, so that handlers may block.
class BlockingServer
{
public:
    using Handler = std::function<Answer(const Request &)>;

    BlockingServer(const std::string &address, Handler handler);
    ~BlockingServer();
    BlockingServer(const BlockingServer &) = delete;
    BlockingServer &operator=(const BlockingServer &) = delete;

    bool listening() const { return m_daemon != nullptr; }
    const Handler &handler() const { return m_handler; }

private:
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
};

// waitForSignal() waits for SIGTERM or SIGINT. Call blockSignals() before any thread starts.
void blockSignals();
void waitForSignal();

} // namespace fordwood::standins

#endif // FORDWOOD_TESTS_STANDINS_BLOCKING_SERVER_HPP_INCLUDED
