// Decodes arbitrary bytes as a frame of the inner protocol. Decoding must yield a message or an error, and a
// decoded message must keep its type when encoded and decoded again.

#include "wire/frame_codec.h"

#include <cstdint>
#include <cstdlib>

using namespace lycheefield;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr TimePoint now { std::chrono::seconds(100) };
    const std::string_view payload(reinterpret_cast<const char*>(data), size);
    const auto message = decodeFrame(payload, now);
    if (!message)
        return 0;
    const auto frame = encodeFrame(message.value(), now);
    const auto again = decodeFrame(std::string_view(frame).substr(frameHeaderBytes), now);
    if (!again || again.value().index() != message.value().index())
        std::abort();
    return 0;
}
