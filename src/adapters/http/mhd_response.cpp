// SPDX-License-Identifier: MIT
#include "adapters/http/mhd_response.hpp"

namespace fordwood::adapters {

DirectAnswer answerOf(const Verdict &verdict)
{
    DirectAnswer answer;
    answer.status = info(verdict.reason).httpStatus;
    answer.body = refusalBody(verdict);
    answer.headers = {{"Fordwood-Verdict", std::string(headerValue(verdict.state))},
                      {"Fordwood-Reason", std::string(info(verdict.reason).name)}};
    if (verdict.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(verdict.retryAfter);
        answer.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    return answer;
}

void addHeaders(MHD_Response *response, const Headers &headers)
{
    for (const auto &[name, value] : headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
}

MHD_Result queueAnswer(MHD_Connection *connection, const DirectAnswer &answer)
{
    // The library's interface is not const-correct; with MUST_COPY it only reads the buffer.
    MHD_Response *response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    if (!answer.contentType.empty())
        MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
    addHeaders(response, answer.headers);
    const MHD_Result result
        = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

} // namespace fordwood::adapters
