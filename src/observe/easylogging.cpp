// The one translation unit that holds easylogging++'s own code.
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
