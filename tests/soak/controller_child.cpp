#include "soak/controller_child.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <system_error>
#include <utility>

#include "app/app.hpp"

namespace elmstall::soak {

ControllerChild::ControllerChild(std::string binary, std::filesystem::path settings,
                                 std::filesystem::path log)
    : binary_(std::move(binary)), settings_(std::move(settings)), log_(std::move(log)) {}

void ControllerChild::start() {
  kill();
  const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) throw std::system_error(errno, std::generic_category(), log_.string());
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    // Killed together with this program; checks that it has not ended before this call.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    ::dup2(log, STDERR_FILENO);
    ::setenv("LOG_LEVEL", "debug", 1);
    ::execl(binary_.c_str(), binary_.c_str(), "--config", settings_.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(log);
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  pid_ = pid;
}

void ControllerChild::kill() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(std::exchange(pid_, 0), nullptr, 0);
}

void ControllerChild::suspend() const {
  if (running()) ::kill(pid_, SIGSTOP);
}

void ControllerChild::resume() const {
  if (running()) ::kill(pid_, SIGCONT);
}

double ControllerChild::peak_memory_mb() const {
  constexpr double kb_per_mb = 1024;
  const std::string key = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key)) return std::stod(line.substr(key.size())) / kb_per_mb;
  }
  return 0;
}

std::optional<std::string> ControllerChild::unexpected_exit() {
  int status = 0;
  if (!running() || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  could_not_listen_ = WEXITSTATUS(status) == app::cannot_listen;
  return "exit status " + std::to_string(WEXITSTATUS(status));
}

}  // namespace elmstall::soak
