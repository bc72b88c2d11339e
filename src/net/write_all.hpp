/// @file
/// Writing to a non-blocking socket, shared by the HTTP client and the HTTP server.
///
/// Requests and responses are small and nearly always fit into the socket's send buffer. Trying a
/// direct write first then saves an iteration of the event loop and the allocation of a completion
/// handler for each message.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

namespace elmstall::net {

/// Writes all of `bytes` and then calls `completion(asio::error_code)` exactly once.
///
/// Bytes that fit into the send buffer are written directly; Asio writes the rest asynchronously.
/// The completion is therefore called either before this function returns, or later from the event
/// loop. After an error an unknown part of `bytes` may have been sent.
///
/// The socket must be in non-blocking mode. The caller keeps the socket and `bytes` alive until
/// the completion has been called, usually by capturing their owner in the completion. Runs on
/// the thread of the socket's event loop.
template <typename Completion>
void write_all(asio::ip::tcp::socket& socket, std::string_view bytes, Completion completion) {
  asio::error_code error;
  const std::size_t written = socket.write_some(asio::buffer(bytes), error);
  if (error && error != asio::error::would_block) return completion(error);
  if (written == bytes.size()) return completion(asio::error_code());
  asio::async_write(socket, asio::buffer(bytes.substr(written)),
                    [completion = std::move(completion)](
                        asio::error_code failure, std::size_t) mutable { completion(failure); });
}

}  // namespace elmstall::net
