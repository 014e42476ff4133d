/// One request of the HTTP client as a libcurl easy handle.
#pragma once

#include "wagtailhead/http.h"

#include <cstdint>
#include <curl/curl.h>
#include <memory>
#include <string_view>

namespace wagtailhead {

/// Where the transfers of a client get their sockets from.
struct CurlSocketFunctions {
    curl_opensocket_callback open_ = nullptr;
    curl_closesocket_callback close_ = nullptr;
    void* client_ = nullptr;
};

/// Holds one request with its answer so far, and whether any byte of the request can have left. Not thread
/// safe.
class CurlTransfer {
public:
    CurlTransfer(const CurlSocketFunctions& sockets, Duration connectTimeout);

    /// Returns whether a request can be expressed in HTTP/1.1. It cannot if, for instance, a header holds a
    /// line break.
    static auto canSend(const HttpRequest& request) -> bool;

    /// Prepares the handle. Call it once. Precondition: canSend(request).
    auto prepare(const Address& address, HttpRequest request, Duration timeout) -> void;

    auto handle() -> CURL*
    {
        return easy_.get();
    }

    /// Returns the transfer that owns a handle.
    static auto of(CURL* easy) -> CurlTransfer&;

    /// Notes that libcurl waits until the connection takes more bytes of the request.
    auto noteWaitsToWrite() -> void;

    /// Returns the outcome and forgets the request. Call it once, when libcurl has finished the transfer.
    auto takeResult(CURLcode code) -> HttpResult;

    HttpClient::RequestId id_ = 0;
    HttpClient::Callback callback_;

private:
    /// What the next line of the answer is.
    enum class HeadPart : std::uint8_t {
        StatusLine,
        Field,
        Trailer,
    };

    struct EasyDeleter {
        auto operator()(CURL* easy) const -> void
        {
            curl_easy_cleanup(easy);
        }
    };
    struct ListDeleter {
        auto operator()(curl_slist* list) const -> void
        {
            curl_slist_free_all(list);
        }
    };

    static auto onOpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address) -> curl_socket_t;
    static auto onConnected(void* self, char*, char*, int, int) -> int;
    static auto onHeader(char* data, std::size_t, std::size_t length, void* self) -> std::size_t;
    static auto onBody(char* data, std::size_t, std::size_t length, void* self) -> std::size_t;
    auto setFixedOptions(Duration connectTimeout) -> void;
    auto setMethod() -> void;
    auto setHeaders() -> void;
    auto appendHeader(const std::string& line) -> void;
    /// Returns whether a byte of the request may have left.
    auto mayHaveSent() const -> bool;
    /// Takes a line of the head, or of the trailer, with its end. Returns false if it makes the answer
    /// invalid.
    auto takeLine(std::string_view line) -> bool;
    auto takeStatusLine(std::string_view line) -> bool;
    auto takeField(std::string_view line) -> bool;
    auto endHead() -> bool;
    auto hasValidFraming() const -> bool;

    const CurlSocketFunctions sockets_;
    std::unique_ptr<CURL, EasyDeleter> easy_;
    std::unique_ptr<curl_slist, ListDeleter> headerList_;
    HttpRequest request_;
    HttpResponse response_;
    bool connected_ = false;
    bool waitedToWrite_ = false;
    bool bodyStarted_ = false;
    HeadPart headPart_ = HeadPart::StatusLine;
    bool linesEndInCrlf_ = false;
};

} // namespace wagtailhead
