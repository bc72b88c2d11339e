// Runs one case: stand CASE PROGRAM FOLDER RECORD
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>

#include "cases.hpp"

int main(int argc, char** argv) {
  using review::Options;
  const std::map<std::string, std::function<int(const Options&)>> cases{
      {"closing-state-service", review::closing_state_service},
      {"stale-leader-deletes", review::stale_leader_deletes},
      {"group-over-limit", review::group_over_limit},
      {"empty-builds", review::empty_builds},
      {"memory-of-groups", review::memory_of_groups},
  };
  if (argc != 5 || !cases.contains(argv[1])) {
    std::fprintf(stderr, "usage: stand CASE PROGRAM FOLDER RECORD\n");
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const Options options{argv[2], argv[3], argv[4],
                        trouble == nullptr || std::string(trouble) != "0"};
  try {
    const int verdict = cases.at(argv[1])(options);
    std::fflush(nullptr);
    std::_Exit(verdict);  // without the destructors of what callbacks may still refer to
  } catch (const std::exception& error) {
    std::fprintf(stderr, "stand: %s\n", error.what());
    return 2;
  }
}
