/// \file
/// sendRequest() implemented with libcurl.
#include "godwitlift/adapters/HttpRequester.h"

#include <absl/strings/str_cat.h>
#include <curl/curl.h>

#include <memory>

namespace godwitlift {

namespace {

constexpr std::size_t MaxResponseBytes = 64U << 20U;

std::size_t appendBody(char *data, std::size_t, std::size_t size, void *target)
{
    auto *body = static_cast<std::string *>(target);
    if (body->size() + size > MaxResponseBytes)
        return 0;
    body->append(data, size);
    return size;
}

struct EasyDeleter
{
    void operator()(CURL *easy) const { curl_easy_cleanup(easy); }
};

struct HeaderListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

/// Handle of the calling thread with all options reset; its connections stay open.
CURL *threadLocalHandle()
{
    thread_local std::unique_ptr<CURL, EasyDeleter> handle(curl_easy_init());
    curl_easy_reset(handle.get());
    return handle.get();
}

void configureSigning(CURL *easy, const SigningParameters &signing, std::string &provider,
                      std::string &credentials)
{
    if (signing.accessKey.empty())
        return;
    provider = absl::StrCat("aws:amz:", signing.region, ":", signing.service);
    credentials = absl::StrCat(signing.accessKey, ":", signing.secretKey);
    curl_easy_setopt(easy, CURLOPT_AWS_SIGV4, provider.c_str());
    curl_easy_setopt(easy, CURLOPT_USERPWD, credentials.c_str());
}

} // namespace

IncomingResponse sendRequest(const OutgoingRequest &request)
{
    CURL *easy = threadLocalHandle();
    curl_slist *list = nullptr;
    for (const std::string &header : request.headers)
        list = curl_slist_append(list, header.c_str());
    list = curl_slist_append(list, "Expect:");
    const std::unique_ptr<curl_slist, HeaderListDeleter> headers(list);
    IncomingResponse response;
    std::string provider;
    std::string credentials;
    configureSigning(easy, request.signing, provider, credentials);
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(request.timeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    const CURLcode code = curl_easy_perform(easy);
    long sentBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    response.isRequestSent = code != CURLE_COULDNT_CONNECT && sentBytes > 0;
    if (code != CURLE_OK)
        return response;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

} // namespace godwitlift
