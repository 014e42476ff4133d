#include "curl_loop.h"

namespace wagtailhead {

namespace {

class CurlClient final : public HttpClient {
public:
    CurlClient(asio::io_context& context, HttpClientOptions options)
        : loop_(std::make_shared<CurlLoop>(context, options))
    {
    }
    ~CurlClient() override
    {
        loop_->shutdown();
    }

    auto send(const Address& address, HttpRequest request, Duration timeout, Callback callback)
        -> RequestId override
    {
        return loop_->send(address, std::move(request), timeout, std::move(callback));
    }

    auto cancel(RequestId id) -> void override
    {
        loop_->cancel(id);
    }

private:
    std::shared_ptr<CurlLoop> loop_;
};

} // namespace

auto HttpClient::create(asio::io_context& context, HttpClientOptions options) -> std::unique_ptr<HttpClient>
{
    return std::make_unique<CurlClient>(context, options);
}

} // namespace wagtailhead
