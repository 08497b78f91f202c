#include "runtime/paused_clock.hpp"
#include "runtime/supervisor.hpp"

#include <doctest/doctest.h>

using namespace mangofold::runtime;
using namespace std::chrono_literals;

namespace
{

struct journal
{
    std::string text;
    bool has_failed = false;
};

class noted_child : public child
{
public:
    noted_child(std::string name, journal& notes)
        : m_name(std::move(name)), m_notes(notes)
    {
    }

    const std::string& name() const override { return m_name; }
    void start() override
    {
        m_notes.has_failed = false;
        m_notes.text += "+" + m_name;
    }
    void stop() noexcept override { m_notes.text += "-" + m_name; }
    bool has_failed() const override
    {
        return m_name == "b" && m_notes.has_failed;
    }

private:
    std::string m_name;
    journal& m_notes;
};

} // namespace

TEST_SUITE("supervisor")
{
    TEST_CASE("starts in order and stops in reverse")
    {
        const paused_clock time;
        journal notes;
        supervisor tree("tree", time);
        for (const char* name : {"a", "b", "c"})
            tree.add(std::make_unique<noted_child>(name, notes));
        tree.start();
        tree.stop();
        CHECK(notes.text == "+a+b+c-c-b-a");
    }

    TEST_CASE("restarts a failed child after a wait that grows")
    {
        paused_clock time;
        journal notes;
        supervisor tree("tree", time);
        tree.add(std::make_unique<noted_child>("a", notes));
        tree.add(std::make_unique<noted_child>("b", notes));
        tree.start();
        notes.has_failed = true;
        tree.check();
        CHECK(notes.text == "+a+b-b");
        tree.check();
        CHECK(tree.restarts() == 0);
        time.advance(1s);
        tree.check();
        CHECK(notes.text == "+a+b-b+b");
        CHECK(tree.restarts() == 1);
    }
}
