#include "standin/published_store.h"

#include "http/http_client_connection.h"

#include <boost/asio/strand.hpp>

#include <doctest/doctest.h>

#include <optional>

namespace lycheefield::standin {

using namespace std::chrono_literals;

namespace {

/// One request on a connection of its own, with its response or its loss.
class Call final : public HttpClientEvents, public std::enable_shared_from_this<Call> {
public:
    void send(boost::asio::io_context& io, const Endpoint& endpoint, std::string target)
    {
        m_target = std::move(target);
        m_connection = openHttpConnection(boost::asio::make_strand(io), endpoint, weak_from_this(), 1s);
    }
    void onConnected() override { m_connection->send({ "GET", m_target, {}, "" }); }
    void onResponse(HttpResponse it) override { response = std::move(it); }
    void onLost(bool, const std::string&) override { isLost = true; }

    std::optional<HttpResponse> response;
    bool isLost = false;

private:
    std::string m_target;
    std::shared_ptr<HttpClientConnection> m_connection;
};

struct StoreFixture {
    StoreFixture()
        : store(io)
        , endpoint(store.listen().value())
    {
    }

    std::shared_ptr<Call> call(const Endpoint& to, const std::string& target)
    {
        auto call = std::make_shared<Call>();
        call->send(io, to, target);
        return call;
    }
    /// Returns the response; status 0 when the connection ended without one.
    HttpResponse responseTo(const Endpoint& to, const std::string& target)
    {
        const auto sent = call(to, target);
        runUntil([&] { return sent->response || sent->isLost; });
        return sent->response.value_or(HttpResponse { 0, {}, {} });
    }
    template <typename Reached>
    void runUntil(Reached isReached)
    {
        io.restart();
        while (!isReached() && io.run_one() > 0) { }
    }

    boost::asio::io_context io { 1 };
    PublishedStoreServer store;
    Endpoint endpoint;
};

}

TEST_CASE("The stand-in store comes back from a copy" * doctest::test_suite("standin"))
{
    StoreFixture fixture;
    fixture.store.put("config", "main", "1");
    fixture.store.saveCopy();
    const auto kept = fixture.store.revision();
    fixture.store.put("config", "main", "2");
    CHECK(fixture.responseTo(fixture.endpoint, "/objects/config").headers.find("Store-Era") == "1");
    const auto calls = fixture.store.calls();
    const auto waiting = fixture.call(fixture.endpoint, "/objects/config?watch=" + std::to_string(kept + 1) + "&waitMs=30000");
    fixture.runUntil([&] { return fixture.store.calls() > calls; });
    fixture.store.restoreCopy();
    fixture.runUntil([&] { return waiting->response || waiting->isLost; });

    SUBCASE("A waiting watch is cut without a response")
    {
        CHECK(waiting->isLost);
        CHECK_FALSE(waiting->response);
    }
    SUBCASE("The same endpoint gives the old objects, in the next epoch")
    {
        const auto list = fixture.responseTo(fixture.endpoint, "/objects/config");
        CHECK(list.body.find("\"spec\":1") != std::string::npos);
        CHECK(list.headers.find("Store-Era") == "2");
    }
    SUBCASE("A watch from a lost revision gets 410")
    {
        const auto response = fixture.responseTo(fixture.endpoint, "/objects/config?watch=" + std::to_string(kept + 1) + "&waitMs=1");
        CHECK(response.status == 410);
        CHECK(response.headers.find("Store-Era") == "2");
    }
    SUBCASE("Once the revision has been given out again, the watch gets no 410")
    {
        fixture.store.put("config", "main", "3");
        CHECK(fixture.store.revision() == kept + 1);
        const auto response = fixture.responseTo(fixture.endpoint, "/objects/config?watch=" + std::to_string(kept + 1) + "&waitMs=1");
        CHECK(response.status == 200);
        CHECK(response.body.find("\"events\":[]") != std::string::npos);
    }
    SUBCASE("A store that names no epochs has no header")
    {
        fixture.store.setNamesEpoch(false);
        CHECK(fixture.responseTo(fixture.endpoint, "/objects/config").headers.count("Store-Era") == 0);
    }
}

TEST_CASE("A reader with an endpoint of its own gets rewritten objects" * doctest::test_suite("standin"))
{
    StoreFixture fixture;
    const auto own = fixture.store.listenFor([](const std::string& kind, const std::string& name, const std::string& spec) { return "\"" + kind + "/" + name + " " + spec + "\""; }).value();
    fixture.store.put("gateways", "g1", "7");

    for (const auto* target : { "/objects/gateways", "/objects/gateways/g1", "/objects/gateways?watch=1&waitMs=1" }) {
        CAPTURE(target);
        CHECK(fixture.responseTo(own, target).body.find("\"spec\":\"gateways/g1 7\"") != std::string::npos);
        CHECK(fixture.responseTo(fixture.endpoint, target).body.find("\"spec\":7") != std::string::npos);
    }
}

}
