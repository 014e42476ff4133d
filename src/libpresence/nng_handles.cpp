#include "nng_handles.h"

#include <cstdlib>
#include <thread>
#include <utility>

namespace wagtailhead {

auto makeNngMessage(std::string_view body) -> NngMessage
{
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
        return nullptr;
    }
    NngMessage owner(message);
    if (nng_msg_append(message, body.data(), body.size()) != 0) {
        return nullptr;
    }
    return owner;
}

auto bodyOf(const NngMessage& message) -> std::string_view
{
    return { static_cast<const char*>(nng_msg_body(message.get())), nng_msg_len(message.get()) };
}

NngAio::NngAio(std::function<void()> callback)
    : callback_(std::move(callback))
{
    if (nng_aio_alloc(&aio_, &NngAio::run, this) != 0) {
        std::abort(); // Out of memory.
    }
}

NngAio::~NngAio()
{
    nng_aio_stop(aio_);
    takeMessage();
    nng_aio_free(aio_);
}

auto NngAio::takeMessage() -> NngMessage
{
    NngMessage message(nng_aio_get_msg(aio_));
    nng_aio_set_msg(aio_, nullptr);
    return message;
}

auto NngAio::run(void* self) -> void
{
    static_cast<NngAio*>(self)->callback_();
}

NngSocket::~NngSocket()
{
    if (nng_socket_id(socket_) > 0) {
        // nng_close of nng 1.5.2 now and then waits for ever (in 1 of 180 ends of a process it did). It must
        // not take a worker of the node or the end of the process with it.
        std::thread([socket = socket_] {
            nng_close(socket);
        }).detach();
    }
}

NngContext::NngContext(nng_socket socket)
    : open_(nng_ctx_open(&context_, socket) == 0)
{
}

NngContext::~NngContext()
{
    if (open_) {
        nng_ctx_close(context_);
    }
}

} // namespace wagtailhead
