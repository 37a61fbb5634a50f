#include "comfreyvane/edge/route_table.h"

#include "support/criterion.h"

using namespace comfreyvane;

namespace {

EdgeRoute RouteOf(const std::string& name, const std::string& prefix) {
  EdgeRoute route;
  route.name = name;
  route.host = "polls.example";
  route.prefix = prefix;
  return route;
}

RouteTable TableOfThree() {
  EdgeWorkspace workspace;
  workspace.name = "kandy";
  workspace.keys = {"first", "second"};
  EdgeService service;
  service.name = "capture";
  return RouteTable(
      7,
      {RouteOf("all", "/"), RouteOf("long", "/a/b/"), RouteOf("short", "/a/")},
      {service}, {workspace}, {});
}

}  // namespace

Test(route_table, finds_the_longest_prefix) {
  const RouteTable table = TableOfThree();
  cr_expect(table.Find("polls.example", "/a/b/c")->name == "long");
  cr_expect(table.Find("polls.example", "/a/c")->name == "short");
  cr_expect(table.Find("polls.example", "/a")->name == "all");
  cr_expect(table.Find("polls.example", "/ab/c")->name == "all");
}

Test(route_table, ignores_the_case_and_port_of_host_names) {
  const RouteTable table = TableOfThree();
  cr_expect(table.Find("Polls.EXAMPLE:8080", "/a/x") != nullptr);
  cr_expect(table.Find("other.example", "/a/x") == nullptr);
  cr_expect(table.Find("", "/a/x") == nullptr);
}

Test(route_table, finds_a_workspace_by_each_of_its_keys) {
  const RouteTable table = TableOfThree();
  cr_expect(table.WorkspaceOf("first") == table.WorkspaceOf("second"));
  cr_expect(table.WorkspaceOf("first")->name == "kandy");
  cr_expect(table.WorkspaceOf("third") == nullptr);
  cr_expect(table.needs_keys());
}

Test(route_table, finds_services_by_name) {
  const RouteTable table = TableOfThree();
  cr_expect(table.FindService(ServiceId::Of("capture")) != nullptr);
  cr_expect(table.FindService(ServiceId::Of("other")) == nullptr);
}
