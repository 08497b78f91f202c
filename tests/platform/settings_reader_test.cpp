#include "platform/settings_reader.hpp"

#include <doctest/doctest.h>

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace mangofold;
using namespace std::chrono_literals;
using serving::settings_error;

namespace
{

/// A settings file in a folder of its own.
class settings_file
{
public:
    settings_file()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "settings-XXXXXX")
                .string();
        m_folder = mkdtemp(pattern.data());
    }
    ~settings_file() { std::filesystem::remove_all(m_folder); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    std::string path() const { return m_folder / "settings.toml"; }

    /// Writes valid settings with \a added at the end, in the table bounds.
    void write(const std::string& added, const std::string& port = "7100",
               const std::string& first = "")
    {
        std::ofstream(path()) << first << R"(
node_name = "e"
zone = "a"
region = "r"
[bind]
frontend = "127.0.0.1:)" << port
                              << R"("
readiness = "127.0.0.1:7101"
control_plane = "127.0.0.1:7102"
[platform]
address = "127.0.0.1:7103"
[bounds]
)" << added << '\n';
    }

private:
    std::filesystem::path m_folder;
};

/// Returns the error of reading \a file, or nothing.
std::string error_of(const settings_file& file)
{
    try
    {
        platform::read_settings(file.path());
    }
    catch (const settings_error& error)
    {
        return error.what();
    }
    return {};
}

} // namespace

TEST_CASE("valid settings are read, and missing numbers have defaults")
{
    settings_file file;
    file.write("grace_s = 3\ndrain_ms = 1.5\n[limits]\nmax_fds = 64", "7100",
               "seeds = [\"10.0.0.1:7\"]\ninternal_ports = [0, 0]");
    const auto settings = platform::read_settings(file.path());
    CHECK(settings.grace == 3s);
    CHECK(settings.max_leaving_delay == 1500us);
    CHECK(settings.max_descriptors == 64);
    CHECK(settings.seeds.size() == 1);
    CHECK(settings.retry_window == 10s);
    CHECK(settings.record_keeper_port == 0);
}

// Guards against values whose conversion is undefined, such as times beyond the
// clock's range, and against defaults in place of values that can't be read.
TEST_CASE("absurd numbers are refused by name")
{
    settings_file file;
    for (const std::string value : {"-1", "nan", "inf", "-inf", "1e308",
                                    "9223372036854775807", "\"3\"", "[3]"})
        for (const std::string name :
             {"grace_s", "budget_ratio", "budget_slack", "budget_window_s",
              "drain_ms", "config_ms"})
        {
            file.write(name + " = " + value);
            CHECK(error_of(file).find("bounds." + name) == 0);
        }
    for (const std::string name :
         {"memory_mb", "max_fds", "cpu_share", "cpu_cores"})
    {
        file.write("[limits]\n" + name + " = -1");
        CHECK(error_of(file).find("limits." + name) == 0);
    }
}

// Guards against an entry that can't listen, or forgets its peers, after a
// mistake.
TEST_CASE("ports and lists of the wrong kind are refused by name")
{
    settings_file file;
    for (const std::string port : {"0", "65536", "-1", ""})
    {
        file.write("", port);
        CHECK(error_of(file).find("bind.frontend") == 0);
    }
    for (const std::string first :
         {"seeds = [\"10.0.0.1:0\"]", "seeds = [7]", "seeds = \"10.0.0.1:7\"",
          "internal_ports = [70000]", "internal_ports = [\"7\"]"})
    {
        file.write("", "7100", first);
        CHECK(error_of(file).find(first.substr(0, first.find(' '))) == 0);
    }
}

// Guards against a read that ends the reloader, holds up the event loop, or
// takes the process's memory.
TEST_CASE("what is not a small file is refused")
{
    settings_file file;
    std::string expected = "not a file";
    SUBCASE("missing")
    {
        expected = file.path();
    }
    SUBCASE("a directory")
    {
        std::filesystem::create_directory(file.path());
    }
    SUBCASE("a pipe that nobody writes")
    {
        REQUIRE(mkfifo(file.path().c_str(), 0600) == 0);
    }
    SUBCASE("a file of 100 MB")
    {
        file.write("");
        std::filesystem::resize_file(file.path(), 100'000'000);
        expected = "larger than";
    }
    SUBCASE("a loop of links")
    {
        std::filesystem::create_symlink(file.path(), file.path());
        expected = file.path();
    }
    CHECK(error_of(file).find(expected) != std::string::npos);
}
