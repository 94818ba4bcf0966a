// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED
#define FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED

#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace fordwood::node {

// Writes the answer to one request to the caller's connection. After sendAnswer(), endStream() or
// abort() the request is finished, and nothing more may be written for it.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    // Counts what is held of the answer toward the limit of this team.
    virtual void setTeam(const std::string &team) = 0;

    // Sends an answer with its complete body.
    virtual void sendAnswer(boost::beast::http::response_header<> head, std::string body) = 0;

    // Starts an answer whose body follows in chunks.
    virtual void beginStream(boost::beast::http::response_header<> head) = 0;

    // Sends a chunk of the body. Returns false if the caller reads too slowly; the writer then
    // calls CallHandler::onCallerReady() when more can be sent.
    virtual bool sendChunk(std::string_view bytes) = 0;

    // Ends a streamed answer that is complete.
    virtual void endStream() = 0;

    // Closes the connection, so that the caller sees that the answer is incomplete.
    virtual void abort() = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ANSWER_WRITER_HPP_INCLUDED
