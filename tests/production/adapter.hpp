// Puts controllers of the production version into the test world.
#pragma once

#include "support/world.hpp"

namespace elmstall::test {

[[nodiscard]] std::unique_ptr<OtherNode> make_production_node(const OtherNodePorts& ports);

}  // namespace elmstall::test
