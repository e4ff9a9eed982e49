#include "history/recorded_history.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

constexpr int exitViolation = 1;
constexpr int exitUnreadable = 2;

std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("the file can't be opened");
    return { std::istreambuf_iterator<char>(in), {} };
}

void readLines(const std::string& path, lycheefield::history::RecordedHistory& history)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("the file can't be opened");
    std::string line;
    while (std::getline(in, line))
        history.add(line);
}

}

int main(int argc, char** argv)
{
    CLI::App app("Checks the recorded history of a run over real processes. Exit code 0: no violation, 1: a violation, 2: unreadable input.");
    std::vector<std::string> files;
    std::string store;
    app.add_option("FILE", files, "History files with one JSON object per line")->required();
    app.add_option("--store", store, "File with the contents of the store: the response to GET /v1/list?prefix=")->required();
    CLI11_PARSE(app, argc, argv);
    lycheefield::history::RecordedHistory history;
    std::string reading = store;
    try {
        history.addStore(readFile(store));
        for (const auto& it : files) {
            reading = it;
            readLines(it, history);
        }
    } catch (const std::exception& e) {
        std::cout << "unreadable: " << reading << ": " << e.what() << '\n';
        return exitUnreadable;
    }
    const auto violations = history.violations();
    for (const auto& it : violations)
        std::cout << "    " << it << '\n';
    std::cout << history.summary() << " violations=" << violations.size() << '\n';
    return violations.empty() ? 0 : exitViolation;
}
