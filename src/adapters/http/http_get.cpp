// SPDX-License-Identifier: MIT
#include "adapters/http/http_get.hpp"

#include <memory>

#include <curl/curl.h>

namespace fordwood::adapters {

namespace {

std::size_t append(char *data, std::size_t size, std::size_t n, void *target)
{
    static_cast<std::string *>(target)->append(data, size * n);
    return size * n;
}

} // namespace

tl::expected<std::string, std::string> httpGet(const std::string &url, Duration timeout)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(),
                                                                   curl_easy_cleanup);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    std::string body;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(ms));
    curl_easy_setopt(easy.get(), CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    const CURLcode ec = curl_easy_perform(easy.get());
    if (ec != CURLE_OK)
        return tl::make_unexpected(url + ": " + curl_easy_strerror(ec));
    return body;
}

} // namespace fordwood::adapters
