#include "runtime/paused_clock.hpp"
#include "runtime/supervisor.hpp"

#include <doctest/doctest.h>

using namespace mangofold::runtime;
using namespace std::chrono_literals;

namespace
{

/// The starts ("+name") and stops ("-name") of all children, in order.
struct call_record
{
    std::string text;
    bool has_failed = false;
};

class recording_child : public child
{
public:
    recording_child(std::string name, call_record& calls)
        : m_name(std::move(name)), m_calls(calls)
    {
    }

    const std::string& name() const override { return m_name; }
    void start() override
    {
        m_calls.has_failed = false;
        m_calls.text += "+" + m_name;
    }
    void stop() noexcept override { m_calls.text += "-" + m_name; }
    bool has_failed() const override
    {
        return m_name == "b" && m_calls.has_failed;
    }

private:
    std::string m_name;
    call_record& m_calls;
};

} // namespace

TEST_SUITE("supervisor")
{
    TEST_CASE("starts children in order and stops them in reverse order")
    {
        const paused_clock time;
        call_record calls;
        supervisor tree("tree", time);
        for (const char* name : {"a", "b", "c"})
            tree.add(std::make_unique<recording_child>(name, calls));
        tree.start();
        tree.stop();
        CHECK(calls.text == "+a+b+c-c-b-a");
    }

    TEST_CASE("restarts a failed child only after the backoff delay")
    {
        paused_clock time;
        call_record calls;
        supervisor tree("tree", time);
        tree.add(std::make_unique<recording_child>("a", calls));
        tree.add(std::make_unique<recording_child>("b", calls));
        tree.start();
        calls.has_failed = true;
        tree.check();
        CHECK(calls.text == "+a+b-b");
        tree.check();
        CHECK(tree.restarts() == 0);
        time.advance(1s);
        tree.check();
        CHECK(calls.text == "+a+b-b+b");
        CHECK(tree.restarts() == 1);
    }
}
