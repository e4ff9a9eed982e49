/// A client sends HEAD requests on kept connections, each followed by a GET. Checks MIXED from the bytes that the client got.
#include "../standin-2/kit.h"

using namespace kit;

namespace {

struct Sent {
    std::string method;
    std::string path;
};

void serve(int fd, Record& record)
{
    Reader reader(fd);
    Message request;
    while (reader.read(request)) {
        const auto attempt = request.header("Lycheefield-Attempt-Id");
        record.line("server: runs " + request.first + " of " + attempt);
        // The answer to HEAD has the headers of that to GET, and no body (RFC 9110, section 9.3.2).
        const std::string body = request.method == "HEAD" ? "" : "ok\n";
        if (!sendAll(fd, "HTTP/1.1 200 OK\r\nLycheefield-Attempt-Id: " + attempt + "\r\nLycheefield-Response-Stamp: stamp." + attempt + "\r\nContent-Length: 3\r\n\r\n" + body))
            break;
    }
    close(fd);
}

/// Reads one response as a client does that knows the request's method. Returns false if the next bytes are no response.
bool readResponse(int fd, std::string& buf, const std::string& method, std::string& what)
{
    const double end = now() + 3;
    const auto more = [&] {
        pollfd p { fd, POLLIN, 0 };
        if (poll(&p, 1, static_cast<int>(std::max(0.0, end - now()) * 1000)) <= 0)
            return false;
        char bytes[4096];
        const auto n = recv(fd, bytes, sizeof(bytes), 0);
        if (n > 0)
            buf.append(bytes, static_cast<std::size_t>(n));
        return n > 0;
    };
    std::size_t at = 0;
    while ((at = buf.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            what = "no response";
            return buf.empty();
        }
    }
    const auto head = buf.substr(0, at + 4);
    what = head.substr(0, head.find("\r\n"));
    if (head.rfind("HTTP/1.1 ", 0) != 0)
        return false;
    buf.erase(0, head.size());
    const auto length = head.find("Content-Length: ");
    const std::size_t size = method == "HEAD" || length == std::string::npos ? 0 : std::strtoul(head.c_str() + length + 16, nullptr, 10);
    while (buf.size() < size) {
        if (!more())
            return false;
    }
    buf.erase(0, size);
    return true;
}

json::value configuration()
{
    return json::object {
        { "version", 7 },
        { "routes", json::array { json::object { { "name", "ledger" }, { "host", "shop.example" }, { "pathPrefix", "/ledger/" }, { "routeType", "idempotent" }, { "timeoutMs", 2000 }, { "targetLatencyMs", 800 }, { "priority", 2 }, { "service", "ledgerbook" }, { "attempts", 2 } } } },
        { "services", json::array { json::object { { "name", "ledgerbook" }, { "healthPath", "/health" }, { "maxConns", 110 } } } },
        { "limits", json::object { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 5000 }, { "idleTimeoutMs", 30000 } } },
    };
}

}

int main(int, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    Folder folder;
    Store store;
    Listener server("127.0.0.1", 0, [&](int fd) { serve(fd, record); });
    store.put("servers", "i-1", json::object { { "service", "ledgerbook" }, { "address", "127.0.0.1:" + std::to_string(server.port()) }, { "zone", "ikeja-a" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "warmupLeftMs", 0 }, { "sequence", 4 }, { "born", 1796000000000 } });
    store.put("config", "main", configuration());
    Gateway gateway;
    gateway.name = "edge-ikeja-a-1";
    gateway.zone = "ikeja-a";
    gateway.ip = "127.0.0.41";
    gateway.assignPorts();
    gateway.storePort = store.open(gateway.storeMode);
    gateway.start(folder.path(), { { "limits.cpuShare", "0.25" }, { "heartbeatMs", "1200" }, { "bounds.configApplyMs", "3000" }, { "bounds.drainMs", "3000" }, { "bounds.graceS", "6" }, { "bounds.retryBudgetRatio", "0.2" }, { "bounds.retrySlack", "58" }, { "bounds.budgetWindowS", "10" } });
    if (!gateway.awaitReady(5)) {
        record.line("the gateway isn't ready; the case can't run", true);
        gateway.process.reset();
        folder.remove();
        finish(2);
    }
    const std::string method = isTrouble() ? "HEAD" : "GET";
    int broken = 0;
    int number = 0;
    for (const std::string path : { "/ledger/1", "/none/1" }) {
        const int fd = connectTo(gateway.ip, gateway.front);
        std::string buf;
        for (const auto& it : { Sent { method, path }, Sent { "GET", "/ledger/2" } }) {
            const auto id = "00000000000000" + std::to_string(10 + ++number);
            sendAll(fd, it.method + " " + it.path + " HTTP/1.1\r\nHost: shop.example\r\nLycheefield-Attempt-Id: " + id + "\r\nLycheefield-Deadline-Ms: 1500\r\n\r\n");
            std::string what;
            const bool isResponse = readResponse(fd, buf, it.method, what);
            broken += !isResponse;
            record.line("client: " + it.method + " " + it.path + " (" + id + ") got '" + what + "'" + (isResponse ? "" : ", which is no response: MIXED broken"), true);
            if (!isResponse)
                break;
        }
        close(fd);
    }
    gateway.process->end(SIGTERM);
    folder.remove();
    record.line(broken > 0 ? "MIXED broken" : "held", true);
    finish(broken > 0 ? 1 : 0);
}
