#include "app/app.hpp"

int main(int argc, char** argv) { return elmstall::app::run(argc, argv); }
