/// \file
/// A controller as a process of its own.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>

namespace elmstall::soak {

/// Starts the controller's program, kills and suspends it, and detects when it exits by itself. The
/// process is killed with this object, and by the kernel should this program end.
class ControllerChild {
 public:
  ControllerChild(std::string binary, std::filesystem::path settings, std::filesystem::path log);
  ~ControllerChild() { kill(); }
  ControllerChild(const ControllerChild&) = delete;
  ControllerChild& operator=(const ControllerChild&) = delete;

  /// Starts the process; its log is appended to. Throws std::system_error if that is not possible.
  void start();
  /// Kills it with SIGKILL and waits for its end. Does nothing if it does not run.
  void kill();
  void suspend() const;
  void resume() const;
  [[nodiscard]] bool running() const { return pid_ > 0; }
  /// The largest resident set of the process so far, in MB; 0 if it does not run.
  [[nodiscard]] double peak_memory_mb() const;
  /// The reason, as text, if it has ended since the last call without having been killed.
  [[nodiscard]] std::optional<std::string> unexpected_exit();
  /// Whether it ended because it could not listen on its addresses.
  [[nodiscard]] bool could_not_listen() const { return could_not_listen_; }
  [[nodiscard]] const std::filesystem::path& log() const { return log_; }

 private:
  std::string binary_;
  std::filesystem::path settings_;
  std::filesystem::path log_;
  pid_t pid_ = 0;
  bool could_not_listen_ = false;
};

}  // namespace elmstall::soak
