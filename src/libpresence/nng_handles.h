/// Owners of nng handles.
#pragma once

#include <functional>
#include <memory>
#include <nng/nng.h>
#include <string>
#include <string_view>

namespace wagtailhead {

struct NngMessageDeleter {
    auto operator()(nng_msg* message) const -> void
    {
        nng_msg_free(message);
    }
};
using NngMessage = std::unique_ptr<nng_msg, NngMessageDeleter>;

/// Returns a message with this body, or null without memory.
auto makeNngMessage(std::string_view body) -> NngMessage;
auto bodyOf(const NngMessage& message) -> std::string_view;

/// An asynchronous operation of nng. The callback runs in a thread of nng.
class NngAio {
public:
    explicit NngAio(std::function<void()> callback);
    /// Aborts the operation and waits until its callback has returned. Not to be called in the callback.
    ~NngAio();
    NngAio(const NngAio&) = delete;
    auto operator=(const NngAio&) -> NngAio& = delete;

    auto get() const -> nng_aio*
    {
        return aio_;
    }
    /// Aborts the operation and waits until its callback has returned; later operations fail at once.
    auto stop() -> void
    {
        nng_aio_stop(aio_);
    }
    auto result() const -> int
    {
        return nng_aio_result(aio_);
    }
    /// Takes the message out of the operation, or null.
    auto takeMessage() -> NngMessage;

private:
    static auto run(void* self) -> void;

    nng_aio* aio_ = nullptr;
    std::function<void()> callback_;
};

/// Closes a socket with all that belongs to it.
class NngSocket {
public:
    NngSocket() = default;
    explicit NngSocket(nng_socket socket)
        : socket_(socket)
    {
    }
    ~NngSocket();
    NngSocket(const NngSocket&) = delete;
    auto operator=(const NngSocket&) -> NngSocket& = delete;

    auto get() const -> nng_socket
    {
        return socket_;
    }

private:
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

/// Closes a context.
class NngContext {
public:
    explicit NngContext(nng_socket socket);
    ~NngContext();
    NngContext(const NngContext&) = delete;
    auto operator=(const NngContext&) -> NngContext& = delete;

    auto get() const -> nng_ctx
    {
        return context_;
    }
    auto isOpen() const -> bool
    {
        return open_;
    }

private:
    nng_ctx context_ = NNG_CTX_INITIALIZER;
    bool open_ = false;
};

} // namespace wagtailhead
