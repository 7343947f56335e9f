Feature: Requests stay in the regions that their route and tenant allow
  # lipno is in north, tabor in south, and the region of zatec is not known.
  Scenario Outline: a route of <route> and a tenant of <tenant>
    # Guards against: a request that leaves the regions it may run in.
    Given endpoints in lipno, tabor and zatec
    When calls of a route of <route> and a tenant of <tenant> are routed
    Then they go to <result>

    Examples:
      | route        | tenant       | result              |
      | any region   | any region   | lipno, tabor, zatec |
      | north        | any region   | lipno               |
      | any region   | south        | tabor               |
      | north, south | south        | tabor               |
      | north, south | any region   | lipno, tabor        |
      | north        | south        | nowhere             |
      | west         | any region   | nowhere             |

  Scenario: restricted and other calls take turns
    # Guards against: endpoints that are kept from a call of another route.
    Given endpoints in lipno, tabor and zatec
    When calls of a route of north and a tenant of any region are routed
    And calls of a route of any region and a tenant of any region are routed
    Then they go to lipno, tabor, zatec

  Scenario: a route's regions on the platform
    # Guards against: a restriction that the configuration names in vain.
    Given nodes of kvoty in lipno and tabor on the platform
    And the operator publishes a route for each region and for no region
    Then a request of any node goes to the region of its route
    And a request of the route for no region is refused as not run
