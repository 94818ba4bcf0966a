// SPDX-License-Identifier: MIT
#include "adapters/http/http_get.hpp"

#include <algorithm>

#include <strings.h>

#include <memory>
#include <string_view>

#include <curl/curl.h>

namespace fordwood::adapters {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t n, void *target)
{
    static_cast<std::string *>(target)->append(data, size * n);
    return size * n;
}

std::size_t storeEtag(char *data, std::size_t size, std::size_t n, void *target)
{
    constexpr std::string_view kName = "etag: ";
    std::string_view line(data, size * n);
    if (line.size() > kName.size() && strncasecmp(line.data(), kName.data(), kName.size()) == 0) {
        line.remove_prefix(kName.size());
        *static_cast<std::string *>(target) = line.substr(0, line.find_last_not_of("\r\n") + 1);
    }
    return size * n;
}

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

HeaderList headerList(const std::string &header)
{
    return {header.empty() ? nullptr : curl_slist_append(nullptr, header.c_str()),
            curl_slist_free_all};
}

// Creates a handle for one blocking call that stores the body of the answer in `body`.
Handle openHandle(const std::string &url, Duration timeout, std::string &body)
{
    Handle easy(curl_easy_init(), curl_easy_cleanup);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, std::max<long>(1, ms));
    curl_easy_setopt(easy.get(), CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    return easy;
}

} // namespace

tl::expected<std::string, std::string> httpPost(const std::string &url, const std::string &json,
                                                Duration timeout)
{
    std::string body;
    const Handle easy = openHandle(url, timeout, body);
    const HeaderList headers = headerList("Content-Type: application/json");
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, json.data());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(json.size()));
    const CURLcode ec = curl_easy_perform(easy.get());
    if (ec != CURLE_OK)
        return tl::make_unexpected(url + ": " + curl_easy_strerror(ec));
    return body;
}

tl::expected<HttpDocument, std::string> httpGet(const std::string &url, Duration timeout,
                                                const std::string &etag)
{
    constexpr long kNotModified = 304;
    HttpDocument document;
    const Handle easy = openHandle(url, timeout, document.body);
    const HeaderList headers = headerList(etag.empty() ? "" : "If-None-Match: " + etag);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, storeEtag);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &document.etag);
    const CURLcode ec = curl_easy_perform(easy.get());
    if (ec != CURLE_OK)
        return tl::make_unexpected(url + ": " + curl_easy_strerror(ec));
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    document.isUnchanged = status == kNotModified;
    return document;
}

} // namespace fordwood::adapters
