// SPDX-License-Identifier: MIT
#include "adapters/http/http_get.hpp"

#include <strings.h>

#include <memory>
#include <string_view>

#include <curl/curl.h>

namespace fordwood::adapters {

namespace {

std::size_t append(char *data, std::size_t size, std::size_t n, void *target)
{
    static_cast<std::string *>(target)->append(data, size * n);
    return size * n;
}

std::size_t takeTag(char *data, std::size_t size, std::size_t n, void *target)
{
    constexpr std::string_view kName = "etag: ";
    std::string_view line(data, size * n);
    if (line.size() > kName.size() && strncasecmp(line.data(), kName.data(), kName.size()) == 0) {
        line.remove_prefix(kName.size());
        *static_cast<std::string *>(target) = line.substr(0, line.find_last_not_of("\r\n") + 1);
    }
    return size * n;
}

} // namespace

tl::expected<HttpDocument, std::string> httpGet(const std::string &url, Duration timeout,
                                                const std::string &tag)
{
    constexpr long kNotModified = 304;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(),
                                                                   curl_easy_cleanup);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    HttpDocument document;
    const std::string condition = "If-None-Match: " + tag;
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        tag.empty() ? nullptr : curl_slist_append(nullptr, condition.c_str()), curl_slist_free_all);
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(ms));
    curl_easy_setopt(easy.get(), CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &document.body);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, takeTag);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &document.tag);
    const CURLcode ec = curl_easy_perform(easy.get());
    if (ec != CURLE_OK)
        return tl::make_unexpected(url + ": " + curl_easy_strerror(ec));
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    document.unchanged = status == kNotModified;
    return document;
}

} // namespace fordwood::adapters
