#include "open_descriptors.h"

#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>

namespace lycheefield::soak {

TEST_CASE("The soak test counts the descriptors that a process has open" * doctest::test_suite("soak"))
{
    const auto before = openDescriptors(getpid());
    REQUIRE(before);

    SUBCASE("A pipe takes two until it is closed")
    {
        std::array<int, 2> ends {};
        REQUIRE(pipe(ends.data()) == 0);
        CHECK(openDescriptors(getpid()) == *before + 2);
        for (const int it : ends)
            close(it);
        CHECK(openDescriptors(getpid()) == *before);
    }
    SUBCASE("A process that has ended has no count")
    {
        const auto child = fork();
        if (child == 0)
            _exit(0);
        REQUIRE(waitpid(child, nullptr, 0) == child);
        CHECK(!openDescriptors(child));
    }
}

}
