#include "cli/operator_cli.h"

#include <iostream>

int main(int argc, char** argv)
{
    return lycheefield::runOperatorCli(argc, argv, std::cout, std::cerr);
}
