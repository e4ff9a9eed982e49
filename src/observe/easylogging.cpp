// Compiles the implementation of easylogging++ in one translation unit.
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
