#include "gateway/gateway_metrics.h"

#include <doctest/doctest.h>

namespace lycheefield {

TEST_CASE("The metrics tell the limit on descriptors and each owner's share of it" * doctest::test_suite("gateway"))
{
    Metrics metrics;

    SUBCASE("With a limit")
    {
        registerDescriptorMetrics(metrics, DescriptorBudget::divide(4100));
        CHECK(metrics.render()
            == "# TYPE lycheefield_descriptor_limit gauge\n"
               "lycheefield_descriptor_limit 4100\n"
               "# TYPE lycheefield_descriptors_allowed gauge\n"
               "lycheefield_descriptors_allowed{owner=\"callers\"} 2050\n"
               "lycheefield_descriptors_allowed{owner=\"rest\"} 513\n"
               "lycheefield_descriptors_allowed{owner=\"servers\"} 1537\n");
    }
    SUBCASE("Without a limit")
    {
        registerDescriptorMetrics(metrics, DescriptorBudget::divide(DescriptorBudget::unlimited));
        CHECK(metrics.render().starts_with("# TYPE lycheefield_descriptor_limit gauge\n"
                                           "lycheefield_descriptor_limit 1.84467440737096e+19\n"));
    }
}

}
