#include "app/asio_event_loop.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace elmstall::app {
namespace {

template <typename Clock>
double seconds_since_epoch() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

}  // namespace

AsioEventLoop::AsioEventLoop(asio::io_context& io) : io_(io), random_(std::random_device{}()) {}

double AsioEventLoop::now() const { return seconds_since_epoch<std::chrono::steady_clock>(); }

double AsioEventLoop::wall_time() const { return seconds_since_epoch<std::chrono::system_clock>(); }

double AsioEventLoop::random() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void AsioEventLoop::after(double seconds, std::function<void()> fn) {
  const auto delay = std::chrono::microseconds(static_cast<long>(seconds * 1e6));
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, fn = std::move(fn)](asio::error_code error) {
    if (!error) fn();
  });
}

void AsioEventLoop::defer(std::function<void()> fn) { asio::post(io_, std::move(fn)); }

std::string AsioEventLoop::make_incarnation() {
  return std::to_string(random_()) + std::to_string(random_());
}

}  // namespace elmstall::app
