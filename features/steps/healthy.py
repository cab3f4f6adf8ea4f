"""Steps that let a scenario begin with a deployment that serves."""

from behave import given

from bench import deployment as deployment_lib

# A lease, and the longest deadline of work that a lost owner may have left.
HEALTHY_WITHIN_S = 45.0


@given("lookups of all services are answered through every entry")
def wait_until_answered(context):
    deployment = context.deployment

    def are_answered():
        return all(
            context.caller.call(service, address=address).outcome == "answered"
            for service in deployment.shape.services
            for address in deployment.callers_addresses.values()
        )

    deployment_lib.wait_for(are_answered, HEALTHY_WITHIN_S, "all are answered")
